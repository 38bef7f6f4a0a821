package config

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
)

// fault is what happens to one call of the platform.
type fault string

const (
	faultDown   fault = "platform down for a second"
	faultLong   fault = "platform down beyond the deadline"
	faultSlow   fault = "slow"
	faultLost   fault = "answer lost after the effect"
	faultLate   fault = "answer lost, effect a second later"
	faultKilled fault = "publisher killed before the effect"
	faultAfter  fault = "publisher killed after the effect"
	faultRace   fault = "another operator first"
	faultPaused fault = "host paused"
	faultCut    fault = "host cut off"
)

// publishSteps is how many calls of the platform a publish makes: head,
// accepted, base, trail, change, object, commit; the eighth is there only after
// a conflict.
const publishSteps = 8

// stepPlatform applies a fault to the call of one number.
type stepPlatform struct {
	*store.Memory
	cell   *testCell
	step   int
	fault  fault
	race   func()
	calls  int
	downTo time.Duration
	killed bool
}

// before reports the failure of a call that doesn't reach the platform.
func (p *stepPlatform) before(ctx context.Context, op string) (hit bool, err error) {
	p.calls++
	hit = p.calls == p.step
	if hit {
		switch p.fault {
		case faultDown:
			p.downTo = p.cell.timers.Boot() + time.Second
		case faultLong:
			p.downTo = p.cell.timers.Boot() + time.Hour
		case faultSlow:
			if err := p.cell.timers.Sleep(ctx, time.Second); err != nil {
				return hit, &store.UnavailableError{Op: op, Err: err}
			}
		case faultKilled:
			p.killed = true
		case faultRace:
			p.race()
		default:
		}
	}
	if p.killed || p.cell.timers.Boot() < p.downTo {
		return hit, &store.UnavailableError{Op: op}
	}
	return hit, nil
}

// after reports the failure of a call that did reach the platform.
func (p *stepPlatform) after(hit bool, op string, err error) error {
	if !hit {
		return err
	}
	switch p.fault {
	case faultLost:
		return &store.UnavailableError{Op: op}
	case faultAfter:
		p.killed = true
		return &store.UnavailableError{Op: op}
	default:
		return err
	}
}

func (p *stepPlatform) Get(ctx context.Context, table, key string) (store.Row, error) {
	hit, err := p.before(ctx, "get")
	if err != nil {
		return store.Row{}, err
	}
	row, err := p.Memory.Get(ctx, table, key)
	return row, p.after(hit, "get", err)
}

func (p *stepPlatform) Object(ctx context.Context, name string) ([]byte, error) {
	hit, err := p.before(ctx, "object")
	if err != nil {
		return nil, err
	}
	data, err := p.Memory.Object(ctx, name)
	return data, p.after(hit, "object", err)
}

func (p *stepPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	hit, err := p.before(ctx, "put")
	if err != nil {
		return err
	}
	return p.after(hit, "put", p.Memory.PutObject(ctx, name, data))
}

func (p *stepPlatform) Commit(ctx context.Context, ops []store.Op) error {
	hit, err := p.before(ctx, "commit")
	if err != nil {
		return err
	}
	if hit && p.fault == faultLate {
		p.cell.timers.After(time.Second, func() { _ = p.Memory.Commit(context.Background(), ops) })
		return &store.UnavailableError{Op: "commit"}
	}
	return p.after(hit, "commit", p.Memory.Commit(ctx, ops))
}

// drive publishes within ten seconds of manual time, or until the publisher is
// killed.
func (c *testCell) drive(p AuditPlatform, e *Edit) (Result, error) {
	pub := NewPublisher(p, c.timers, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	deadline := c.timers.After(10*time.Second, cancel)
	defer deadline.Stop()
	var res Result
	var err error
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		defer close(done)
		res, err = pub.Publish(ctx, e)
		return nil
	})
	for {
		select {
		case <-done:
			return res, err
		case <-time.After(100 * time.Microsecond):
			c.timers.Advance(20 * time.Millisecond)
		}
	}
}

// stands returns how many versions and how many records of an accepted change
// carry the id.
func (c *testCell) stands(t *testing.T, id string) (versions, records int) {
	t.Helper()
	is := is.New(t)
	rows, err := c.platform.Scan(t.Context(), Table, versionPrefix)
	is.NoErr(err)
	for i := range rows {
		h, err := readVersion(t.Context(), c.platform, uint64(i+1))
		is.NoErr(err)
		if h.Publish == id {
			versions++
		}
	}
	for _, r := range c.records(t) {
		if r.ID == id && r.Verdict == audit.Accepted {
			records++
		}
	}
	return versions, records
}

// TestPublishFaults puts every fault at every step of a publish. The verdict
// has to be true, a version and its record stand together or not at all, and
// the same publish again, by another publisher, has no second effect.
func TestPublishFaults(t *testing.T) {
	faults := []fault{faultDown, faultLong, faultSlow, faultLost, faultLate, faultKilled, faultAfter, faultRace}
	for _, f := range faults {
		for step := 1; step <= publishSteps; step++ {
			t.Run(string(f)+" at call "+strconv.Itoa(step), func(t *testing.T) { publishFault(t, f, step) })
		}
	}
}

func publishFault(t *testing.T, f fault, step int) {
	is := is.New(t)
	c := newTestCell()
	for name, zone := range map[string]string{"a": "z1", "b": "z2"} {
		c.start(name, zone)
	}
	_, err := c.drive(c.platform, edit(c, 0, &Team{Name: "first"}))
	is.NoErr(err)
	c.round()
	p := &stepPlatform{Memory: c.platform, cell: c, step: step, fault: f}
	p.race = func() {
		other := NewPublisher(c.platform, c.timers, zap.NewNop())
		_, err := other.Publish(t.Context(), edit(c, 1, &Team{Name: "theirs"}))
		is.NoErr(err)
	}
	e := edit(c, 1, &Team{Name: "mine"})
	_, err = c.drive(p, e)
	versions, records := c.stands(t, e.ID)
	is.Equal(versions, records)
	c.verdict(t, err, versions)

	c.timers.Advance(2 * time.Second) // late effects come by now
	versions, records = c.stands(t, e.ID)
	is.Equal(versions, records)
	_, again := c.drive(c.platform, e)
	after, records := c.stands(t, e.ID)
	is.Equal(after, records)
	is.True(after <= 1 && after >= versions)
	c.verdict(t, again, after)
	is.True(f == faultRace || after == 1)
	c.everyRecordStands(t)

	c.round()
	head, _, err := readHead(t.Context(), c.platform)
	is.NoErr(err)
	for _, h := range c.followers {
		is.Equal(h.Head().Version, head.Version)
		is.True(h.Fresh())
	}
}

// everyRecordStands checks that each accepted change has its version, and each
// version its record.
func (c *testCell) everyRecordStands(t *testing.T) {
	t.Helper()
	is := is.New(t)
	accepted := make(map[string]bool)
	for _, r := range c.records(t) {
		if r.Verdict == audit.Accepted {
			accepted[r.ID] = true
		}
	}
	head, _, err := readHead(t.Context(), c.platform)
	is.NoErr(err)
	is.Equal(len(accepted), int(head.Version))
	for v := uint64(1); v <= head.Version; v++ {
		h, err := readVersion(t.Context(), c.platform, v)
		is.NoErr(err)
		is.True(accepted[h.Publish])
	}
}

// verdict checks that what a publish returned agrees with what stands.
func (c *testCell) verdict(t *testing.T, err error, versions int) {
	t.Helper()
	is := is.New(t)
	var conflict *ConflictError
	var unpublished *UnpublishedError
	var unknown *UnknownError
	switch {
	case err == nil:
		is.Equal(versions, 1)
	case errors.As(err, &conflict):
		is.Equal(versions, 0)
		is.Equal(conflict.Theirs[0].Ref.Name, "theirs")
	case errors.As(err, &unpublished):
		is.Equal(versions, 0)
	case errors.As(err, &unknown):
	default:
		is.NoErr(err)
	}
}

// TestAcceptanceFaults publishes a withdrawal while a host is paused or cut
// off, at each moment of the publish, for both kinds of grace. No host honours
// the key once the publisher was told that it is in force, and that is within
// the stated time.
func TestAcceptanceFaults(t *testing.T) {
	tests := map[string]struct {
		queue  string
		grace  string
		within time.Duration // from the write
	}{
		"default grace": {queue: "plain", within: 3 * time.Second},
		"grace of 10 s": {queue: "patient", grace: "[queue.patient]\npolicy = \"patient\"\n[policy.patient]\ngrace = \"10s\"\n", within: 13 * time.Second},
	}
	for name, tt := range tests {
		for _, f := range []fault{faultPaused, faultCut} {
			for _, before := range []time.Duration{0, DefaultInterval, DefaultPeriod, 5 * time.Second} {
				t.Run(name+", "+string(f)+" "+before.String()+" before", func(t *testing.T) {
					acceptanceFault(t, "[team.shop]\n[queue.plain]\n"+tt.grace, tt.queue, f, before, tt.within)
				})
			}
		}
	}
}

func acceptanceFault(t *testing.T, text, queue string, f fault, before, within time.Duration) {
	is := is.New(t)
	c := newTestCell()
	secret, digest := NewSecret("shop-1")
	key := &Key{Name: "shop-1", Team: "shop", Digest: digest}
	set := parse(t, text)
	e := edit(c, 0, key)
	for _, ref := range set.Refs() {
		e.Put = append(e.Put, set.Object(ref))
	}
	a, b, d := c.start("a", "z1"), c.start("b", "z2"), c.start("c", "z2")
	_, err := c.drive(c.platform, e)
	is.NoErr(err)
	c.round()
	w := NewWaiter(c.platform, c.timers, a, nil, zap.NewNop())
	w.accept(t.Context(), 1)
	is.True(serves(b, queue, secret))
	c.cut["b"], c.cut["c"] = true, true // the zone
	left := c.host("b", f)
	c.refreshFor(before)

	res, err := c.drive(c.platform, &Edit{ID: audit.NewID(c.timers.Now()), Author: "ana", Base: AnyVersion, Action: audit.Delete, Delete: []Ref{key.Ref()}})
	is.NoErr(err)
	r := &round{waiter: w, head: res.Head, end: res.Published + w.lapse(res.Head), confirmed: make(map[string]bool)}
	for {
		c.refreshFor(askInterval)
		p, err := r.ask(t.Context())
		is.NoErr(err)
		if p.Accepted {
			is.Equal(p.Missing, []string{"b", "c"})
			break
		}
		is.True(c.timers.Boot()-res.Published < within)
	}
	is.True(c.timers.Boot()-res.Published <= within)
	for _, h := range []*Follower{a, b, d} {
		is.True(!serves(h, queue, secret))
	}
	left()
	is.True(!serves(b, queue, secret)) // the paused one wakes
	c.cut["b"], c.cut["c"] = false, false
	c.refreshFor(2 * DefaultInterval)
	is.Equal(b.Head().Version, res.Head.Version)
	is.True(!serves(b, queue, secret))
}

// serves reports whether a host accepts a request with that secret.
func serves(f *Follower, queue, secret string) bool {
	snap := f.Current()
	if snap == nil || !f.Honours(queue) {
		return false
	}
	_, _, ok := snap.KeyTeam(secret)
	return ok
}

// host pauses a host, or leaves it running, and returns what wakes it.
func (c *testCell) host(name string, f fault) (wake func()) {
	if f != faultPaused {
		return func() {}
	}
	c.paused = name
	return func() { c.paused = "" }
}

// refreshFor lets all hosts that are not paused refresh as time goes on.
func (c *testCell) refreshFor(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := c.timers.Boot() + d; c.timers.Boot() < end; {
		c.timers.Advance(min(tick, end-c.timers.Boot()))
		for _, p := range c.peers {
			if p.Name != c.paused {
				c.followers[p.Name].refresh(context.Background())
			}
		}
	}
}
