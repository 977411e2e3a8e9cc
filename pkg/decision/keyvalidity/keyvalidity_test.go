package keyvalidity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against keys that are accepted for the whole bound, which leaves no room for clocks that differ in rate, and against an age that was
// never known and counts as young.
func TestValid(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{
		{0, true}, {4750 * time.Millisecond, true}, {4751 * time.Millisecond, false}, {Never, false}, {-time.Second, false},
		{AgeAt(0, time.Hour), false}, {AgeAt(time.Hour-time.Second, time.Hour), true},
	} {
		assert.Equal(t, Valid(c.age, 5*time.Second), c.want, "age %v", c.age)
	}
}

// Guards against an age that becomes smaller on its way to another node, by rounding or by the time that the answer took.
func TestAgesAreNeverTooSmall(t *testing.T) {
	k := Known{AsOf: time.Hour, Changed: 7}
	a := AgeOf(k, time.Hour+1500*time.Microsecond)
	assert.Equal(t, a, Age{Changed: 7, Milliseconds: 2})
	begun := 2 * time.Hour
	assert.Equal(t, KnownFrom(a, begun), Known{AsOf: begun - 2*time.Millisecond, Changed: 7})

	assert.Equal(t, KnownFrom(AgeOf(Known{}, time.Hour), begun), Known{}, "nothing known")
	assert.Equal(t, KnownFrom(AgeOf(k, time.Minute), begun), Known{}, "a clock that went back")
	assert.Equal(t, KnownFrom(Age{Milliseconds: 1 << 62}, begun), Known{})
}

// Guards against a copy that lacks changes and takes over the age of one that has them.
func TestCopyOfAnOlderRevisionIsNotConfirmed(t *testing.T) {
	var c Copy
	assert.Assert(t, c.Confirm(Known{time.Second, 5}, 5, 1))
	c.Passed(1, time.Second, true, 1)
	assert.Assert(t, !c.Confirm(Known{2 * time.Second, 6}, 5, 1), "the other copy has a change of revision 6")
	assert.Equal(t, c.InForceUpTo(), time.Second)
	assert.Assert(t, c.Confirm(Known{2 * time.Second, 4}, 5, 1))
	assert.Equal(t, c.InForceUpTo(), 2*time.Second)
	assert.Equal(t, c.Known().Changed, int64(5), "the copy holds a change of revision 5")
}

// Guards against an age of the copy that is taken for that of what is in force: before changes are passed on, and after they were refused.
func TestOnlyWhatIsInForceIsCurrent(t *testing.T) {
	var c Copy
	c.Confirm(Known{time.Second, 5}, 5, 1)
	assert.Equal(t, c.InForceUpTo(), time.Duration(0), "nothing was passed on")
	c.Passed(1, time.Second, true, 1)
	assert.Equal(t, c.InForceUpTo(), time.Second)

	c.Confirm(Known{2 * time.Second, 6}, 6, 2)
	assert.Equal(t, c.InForceUpTo(), time.Second, "content 2 was not passed on")
	c.Passed(2, 2*time.Second, false, 2)
	c.Confirm(Known{3 * time.Second, 6}, 6, 2)
	assert.Equal(t, c.InForceUpTo(), time.Second, "content 2 was refused")

	c.Passed(3, 3*time.Second, true, 4)
	c.Confirm(Known{4 * time.Second, 7}, 8, 4)
	assert.Equal(t, c.InForceUpTo(), 3*time.Second, "content 4 came while content 3 was put in force")
	c.Passed(4, 4*time.Second, true, 4)
	assert.Equal(t, c.InForceUpTo(), 4*time.Second)
}
