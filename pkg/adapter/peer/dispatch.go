package peer

import (
	"fmt"
	"go/token"
	"reflect"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

// dispatchMethod is the one method that is registered with net/rpc itself.
const dispatchMethod = "Dispatcher.Invoke"

// method is one exported method of a receiver with the form func(args A, reply *R) error.
type method struct {
	name     string
	function reflect.Value
	argType  reflect.Type
	// replyType is the type that the reply argument points to.
	replyType reflect.Type
}

// newArgs returns a zero argument for call and a pointer to decode it into.
func (m *method) newArgs() (args reflect.Value, pointer any) {
	if m.argType.Kind() == reflect.Pointer {
		p := reflect.New(m.argType.Elem())
		return p, p.Interface()
	}
	p := reflect.New(m.argType)
	return p.Elem(), p.Interface()
}

// newReply returns a pointer to an empty reply; maps and slices are made non-nil, as net/rpc does.
func (m *method) newReply() reflect.Value {
	p := reflect.New(m.replyType)
	switch m.replyType.Kind() {
	case reflect.Map:
		p.Elem().Set(reflect.MakeMap(m.replyType))
	case reflect.Slice:
		p.Elem().Set(reflect.MakeSlice(m.replyType, 0, 0))
	}
	return p
}

// call runs the method. It turns a panic into an error, so that one faulty request does not end the node.
func (m *method) call(args, reply reflect.Value) (err error) {
	defer func() {
		if p := recover(); p != nil {
			klog.Errorf("peer method %s panicked: %v", m.name, p)
			err = Error.New("method %s panicked: %v", m.name, p)
		}
	}()
	err, _ = m.function.Call([]reflect.Value{args, reply})[0].Interface().(error)
	return err
}

// Invocation is the argument of the dispatcher's net/rpc method; serverCodec fills it. It is exported only because
// net/rpc requires it.
type Invocation struct {
	// method is nil when the requested method does not exist; unknownMethod is its name then.
	method        *method
	args          reflect.Value
	unknownMethod string
}

// Result is the reply of the dispatcher's net/rpc method; serverCodec sends its contents. It is exported only because
// net/rpc requires it.
type Result struct {
	reply any
	err   error
}

// dispatcher holds the methods of the registered receivers by name.
type dispatcher struct {
	mu      sync.RWMutex
	methods map[string]*method
}

// find returns the method with a name such as "Admission.Acquire", or nil.
func (d *dispatcher) find(name string) *method {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.methods[name]
}

var errorType = reflect.TypeFor[error]()

// register adds the exported methods of receiver that have the net/rpc form, as name.METHOD.
func (d *dispatcher) register(name string, receiver any) error {
	v := reflect.ValueOf(receiver)
	if !v.IsValid() || name == "" || strings.Contains(name, ".") {
		return Error.New("cannot register receiver %q: it is nil, or its name is empty or holds a dot", name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	found := 0
	for i := range v.NumMethod() {
		m := v.Type().Method(i)
		t := v.Method(i).Type()
		if t.NumIn() != 2 || t.NumOut() != 1 || t.Out(0) != errorType || t.In(1).Kind() != reflect.Pointer ||
			!exportedOrBuiltin(t.In(0)) || !exportedOrBuiltin(t.In(1)) {
			continue
		}
		full := name + "." + m.Name
		if _, ok := d.methods[full]; ok {
			return Error.New("method %s is registered twice", full)
		}
		d.methods[full] = &method{name: full, function: v.Method(i), argType: t.In(0), replyType: t.In(1).Elem()}
		found++
	}
	if found == 0 {
		return Error.New("receiver %q has no method of the form func(args, *reply) error", name)
	}
	return nil
}

// exportedOrBuiltin reports whether net/rpc allows t as an argument or reply type.
func exportedOrBuiltin(t reflect.Type) bool {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return token.IsExported(t.Name()) || t.PkgPath() == ""
}

// receiver is the type that the dispatcher registers with net/rpc.
type receiver struct{}

// Invoke runs one invocation. It always returns nil; the method's error is stored in the result.
func (receiver) Invoke(in *Invocation, out *Result) error {
	if in.method == nil {
		out.err = fmt.Errorf("%w %q", ErrUnknownMethod, in.unknownMethod)
		return nil
	}
	reply := in.method.newReply()
	out.err = in.method.call(in.args, reply)
	out.reply = reply.Interface()
	return nil
}
