package loadreport

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var at = time.Unix(1_000_000, 0)

// Guards against dropping the whole report of an upstream that adds figures, as the former decoder did with four of them.
func TestParse(t *testing.T) {
	for text, want := range map[string]Report{
		"3,1,8":         {Running: 3, Waiting: 1, Slots: 8, At: at},
		" 3 , 1 , 8 ":   {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,8,250":     {Running: 3, Waiting: 1, Slots: 8, Slowness: 2.5, At: at},
		"3,1,8, 62.5 ":  {Running: 3, Waiting: 1, Slots: 8, Slowness: 0.625, At: at},
		"3,1,8,250,7,x": {Running: 3, Waiting: 1, Slots: 8, Slowness: 2.5, At: at},
		"3,1,8,,7":      {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,8,fast":    {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,8,-100":    {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,8,0":       {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,8,NaN":     {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,8,Inf":     {Running: 3, Waiting: 1, Slots: 8, At: at},
		"3,1,?":         {Running: 3, Waiting: 1, At: at},
		"":              {},
		"3":             {},
		"3,1":           {},
		"x,1,8":         {},
		"-1,2,8,100":    {},
		"9223372036854775807,9223372036854775807,8": {},
	} {
		assert.Equal(t, Parse(text, at), want, "%q", text)
	}
}

// Guards against using a slowness that is too old to say something.
func TestMomentAges(t *testing.T) {
	r := Parse("3,1,8,250", at)
	slowness, ok := r.Moment(at.Add(momentLifetime))
	assert.Assert(t, ok)
	assert.Equal(t, slowness, 2.5)
	_, ok = r.Moment(at.Add(momentLifetime + time.Millisecond))
	assert.Assert(t, !ok)
	_, ok = Parse("3,1,8", at).Moment(at)
	assert.Assert(t, !ok)
}

// Guards against reports whose figures are no counts or no finite positive slowness, whatever an upstream sends.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"3,1,8", "3,1,8,250", "3,1,8,250,7", ",,,", "", "3,1,8,1e309", "3,1,8,0x1p-1074", "٣,1,8"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := Parse(text, at)
		if !r.Known() {
			assert.Equal(t, r, Report{})
			return
		}
		assert.Assert(t, r.Running >= 0 && r.Waiting >= 0 && r.Slots >= 0 && r.Busy() <= 2*maxCount && r.Slots <= maxCount)
		assert.Assert(t, r.Slowness >= 0 && r.Slowness <= maxSlowness && !math.IsNaN(r.Slowness))
		assert.Equal(t, Parse(text+",7", at).Busy(), r.Busy(), "a further figure changes the counts")
	})
}

func BenchmarkParse(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Parse("13,1,16,104", at)
	}
}
