package rig3

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["14"] = caseFlood }

const (
	maxFDs   = 4100 // as in the settings
	manyOpen = 4150 // connections of requesters to a node
	fewOpen  = 150
	finish   = 14 * time.Second
)

// caseFlood: many requesters come to one node after the other, each with a connection, and leave
// again. The nodes have to answer then.
func caseFlood(rec *record, trouble bool) error {
	c, err := newCell(rec, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	c.maxFDs = maxFDs
	c.store.put("op", "config", desired(3, 3, 0))
	for i := range 3 {
		e := c.world.newExecutor(c.store, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i), "r-0", "a", "127.0.0.1", amount{CPU: 32000, Mem: 131072})
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var jobs []*job
	for i := range 6 {
		j := &job{ID: fmt.Sprintf("5c0e7a21d94b36f%d", i), Spec: fmt.Sprintf("text %d", i), tenant: "a", Steps: []step{{Count: 2, CPU: 1000, Mem: 256, Est: 500, work: 500 * time.Millisecond}}}
		if !c.submit(j) {
			return fmt.Errorf("job %s isn't accepted", j.ID)
		}
		jobs = append(jobs, j)
	}
	open := fewOpen
	if trouble {
		open = manyOpen
	}
	for _, n := range c.nodes {
		if err := c.crowd(n, open); err != nil {
			return err
		}
	}
	time.Sleep(finish)
	for _, n := range c.nodes {
		rec.note("%s: process alive %v, ready %v", n.name, n.alive(), n.isReady())
	}
	for _, j := range jobs {
		answered := false
		for until := time.Now().Add(3 * time.Second); !answered && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, n := range c.nodes {
				status, _ := c.call(n, http.MethodGet, prefix+j.ID, nil)
				answered = answered || status == http.StatusOK
			}
		}
		if !answered {
			rec.broken("LOST", "job %s was accepted and gets no answer from any node, %v after all connections were closed", j.ID, finish)
		}
	}
	return nil
}

// crowd opens connections to a node, keeps them for 3 s and closes them.
func (c *cell) crowd(n *node, open int) error {
	conns := make([]net.Conn, 0, open)
	defer func() {
		for _, x := range conns {
			_ = x.Close()
		}
	}()
	for i := range open {
		x, err := net.DialTimeout("tcp4", n.front, 2*time.Second)
		if err != nil {
			c.rec.note("connection %d to %s: %v", i, n.name, err)
			if i < open/2 {
				return err
			}
			break
		}
		conns = append(conns, x)
	}
	c.rec.note("%d connections to %s are open", len(conns), n.name)
	time.Sleep(3 * time.Second)
	c.rec.note("the connections to %s are closed", n.name)
	return nil
}
