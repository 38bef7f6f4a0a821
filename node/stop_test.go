package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/platform/fake"
)

const (
	// silence is longer than the grace time of the process.
	silence = 8 * time.Second
	// graceTime is the grace time in the settings of newRig.
	graceTime = 6 * time.Second
	// stopClients send submissions during a stop, more than one write takes.
	stopClients = 40
)

// All hosts exit within the grace time although the store has gone silent and clients'
// submissions wait for it.
func TestStopWhileStoreIsSilent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	r.store.SetSlow(silence)
	var clients errgroup.Group
	begin := time.Now()
	for n := range stopClients {
		clients.Go(func() error {
			for k := 0; time.Since(begin) < graceTime; k++ {
				_, _ = r.call(r.hosts[k%len(r.hosts)], http.MethodPost, fake.Queue+id(n*100+k), fake.Key, twoSteps)
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond) // Some submissions are under way.
	var stops errgroup.Group
	for _, h := range r.hosts {
		stops.Go(func() error {
			began := time.Now()
			if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			err := h.command.Wait()
			is.True(time.Since(began) < graceTime)
			return err
		})
	}
	is.NoErr(stops.Wait())
	is.NoErr(clients.Wait())
}
