package repeat_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/repeat"
)

const second = time.Second

// callers sends requests of a route, 20 a second, and counts what is taken for a repeat.
type callers struct {
	route  repeat.Route
	random *rand.Rand
	now    time.Duration
	right  [2]int // first requests and repeats that were recognised as such
	all    [2]int
}

func newCallers(seed uint64) *callers { return &callers{random: rand.New(rand.NewPCG(seed, 0))} }

// first returns a caller's full deadline: a little below its setting of 5 s.
func (c *callers) first() time.Duration {
	return time.Duration((4.25 + 0.75*c.random.Float64()) * float64(second))
}

// run lets first requests arrive, of which a part is refused and returns with what is
// left of its deadline after 1 to 2 s.
func (c *callers) run(requests int, refused float64) {
	for range requests {
		c.now += 50 * time.Millisecond
		deadline := c.first()
		c.count(0, deadline)
		for c.random.Float64() < refused && deadline > second {
			c.route.RecordRefusal(c.now)
			deadline = time.Duration(float64(deadline) * (0.6 + 0.1*c.random.Float64()))
			c.count(1, deadline)
		}
	}
}

func (c *callers) count(kind int, deadline time.Duration) {
	c.all[kind]++
	if elapsed := c.route.Observe(c.now, deadline); (elapsed > 0) == (kind == 1) {
		c.right[kind]++
	}
}

func (c *callers) share(kind int) float64 {
	return float64(c.right[kind]) / float64(max(1, c.all[kind]))
}

// Callers are refused and return while a service is too small: their repeats are told from
// first requests, also when there are more repeats than first requests.
func TestRepeatsAreRecognised(t *testing.T) {
	for _, refused := range []float64{0.2, 0.5, 0.75} {
		c := newCallers(1)
		c.run(2000, refused)
		t.Logf("refused %v: %.3f of first requests, %.3f of repeats", refused, c.share(0), c.share(1))
		assert.Assert(t, c.share(0) > 0.97 && c.share(1) > 0.9)
	}
}

// Some callers set a shorter deadline of their own. They must not be taken for returning
// ones: neither while nothing is refused, nor when requests are refused later.
func TestShortDeadlinesAreNoRepeats(t *testing.T) {
	c := newCallers(2)
	for i := range 2000 {
		c.now += 50 * time.Millisecond
		deadline := c.first()
		if i%4 == 0 {
			deadline = 2 * second
		}
		if i >= 1000 && i%2 == 0 {
			c.route.RecordRefusal(c.now)
		}
		assert.Equal(t, c.route.Observe(c.now, deadline), time.Duration(0))
	}
}

// Without a refusal, or with fewer refusals than short deadlines, nothing is a repeat.
func TestWithoutRefusalsNothingIsRepeat(t *testing.T) {
	c := newCallers(3)
	c.run(500, 0)
	assert.Equal(t, c.route.Observe(c.now, 2*second), time.Duration(0))
	assert.Equal(t, c.route.Observe(c.now, 0), time.Duration(0), "a request without a deadline")
	c.route.RecordRefusal(c.now)
	recognised := 0
	for range 20 {
		if c.route.Observe(c.now, 2*second) > 0 {
			recognised++
		}
	}
	assert.Assert(t, recognised <= 2, "%d repeats after one refusal", recognised)
}

// The estimate of the time since the first request is close to it.
func TestElapsedTime(t *testing.T) {
	c := newCallers(4)
	c.run(1000, 0.5)
	c.route.RecordRefusal(c.now)
	elapsed := c.route.Observe(c.now, 3*second)
	assert.Assert(t, elapsed > 1200*time.Millisecond && elapsed < 2*second, "%v", elapsed)
}
