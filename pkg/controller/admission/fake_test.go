package admission

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// network is a fake peer transport. Messages are encoded with gob as in net/rpc; a node can be dead or paused.
type network struct {
	mu     sync.Mutex
	nodes  map[string]*fakeNode
	faults map[string]string
}

type fakeNode struct {
	net       *network
	name      string
	board     *blackboard.Board
	log       *explain.Log
	receivers map[string]reflect.Value
	c         *Controller
}

func (n *fakeNode) Register(name string, receiver any) error {
	n.receivers[name] = reflect.ValueOf(receiver)
	return nil
}

func copyViaGob(dst, src any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(src); err != nil {
		return err
	}
	return gob.NewDecoder(&b).Decode(dst)
}

func (n *network) setFault(node, kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[node] = kind
}

func (n *fakeNode) Call(ctx context.Context, node, method string, args, reply any) error {
	n.net.mu.Lock()
	target, fault := n.net.nodes[node], n.net.faults[node]
	if fault == "" {
		fault = n.net.faults[n.name]
	}
	n.net.mu.Unlock()
	if target == nil || fault == "dead" {
		return peer.ErrUnreachable
	}
	receiver, name, _ := strings.Cut(method, ".")
	done := make(chan error, 1)
	m := target.receivers[receiver].MethodByName(name)
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	if err := copyViaGob(in.Interface(), args); err != nil {
		return err
	}
	go func() {
		for fault == "paused" {
			time.Sleep(10 * time.Millisecond)
			n.net.mu.Lock()
			fault = n.net.faults[node]
			n.net.mu.Unlock()
		}
		err, _ := m.Call([]reflect.Value{in, out})[0].Interface().(error)
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
		return copyViaGob(reply, out.Interface())
	case <-ctx.Done():
		return peer.ErrTimeout
	}
}

func (n *fakeNode) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// cluster starts nodes that share one configuration; adjust may change the options of a node.
func cluster(t testing.TB, nodes int, cfg api.Config, adjust func(o *Options)) *network {
	n := &network{nodes: map[string]*fakeNode{}, faults: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		n.nodes[name] = &fakeNode{net: n, name: name, board: blackboard.New(), receivers: map[string]reflect.Value{},
			log: explain.NewLog(name, 4096, time.Now)}
	}
	n.setMembers()
	for name, node := range n.nodes {
		node.board.Config.Set(cfg)
		o := Options{Self: name, Board: node.board, Peers: node, Registrar: node, Log: node.log, Seed: 7}
		if adjust != nil {
			adjust(&o)
		}
		c, err := New(o)
		assert.NilError(t, err)
		node.c = c
	}
	for _, node := range n.nodes {
		wg.Go(func() { _ = node.c.Run(ctx) })
	}
	return n
}

// setMembers sets the live members on all nodes: every node except those named.
func (n *network) setMembers(without ...string) {
	live := map[string]blackboard.Member{}
	for name := range n.nodes {
		live[name] = blackboard.Member{Name: name, AvailabilityZone: "z1"}
	}
	for _, w := range without {
		delete(live, w)
	}
	for name, node := range n.nodes {
		node.board.Members.Set(blackboard.Members{Self: name, Live: live})
	}
}

// engines returns a configuration whose register has the engines e0, e1, ..., which all serve one model.
func engines(count int) api.Config {
	var cfg api.Config
	for i := range count {
		cfg.Register.Upstreams = append(cfg.Register.Upstreams, api.Upstream{
			Name: fmt.Sprintf("e%d", i), Kind: api.UpstreamEngine, Models: []string{"m"}, AvailabilityZone: "z1"})
	}
	return cfg
}

func request(id string) serving.Request {
	return serving.Request{ID: id, Institution: "board", Model: "m", Share: 1, Deadline: time.Now().Add(10 * time.Second)}
}
