package link

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestAuthorityIsReplaced replaces the authority and the certificates of nodes,
// one node after another, while they call each other. In between, the files hold
// both authorities. At each step a new process calls all nodes and is called by
// them. No call may fail, and in the end the old authority is rejected.
func TestAuthorityIsReplaced(t *testing.T) {
	is := is.New(t)
	const size = 3
	first, second := t.TempDir(), t.TempDir()
	old, err := IssueFiles(first)
	is.NoErr(err)
	_, err = IssueFiles(second)
	is.NoErr(err)
	dirs := make([]string, 0, size)
	certs := make([]*Certs, 0, size)
	nodes := make([]*Node, 0, size)
	for range size {
		dir := t.TempDir()
		copyFiles(t, dir, first, first)
		c, err := LoadCerts(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem"))
		is.NoErr(err)
		dirs, certs = append(dirs, dir), append(certs, c)
		nodes = append(nodes, startNode(t, "n", c, map[string]HandlerFunc{"echo": echo}))
	}
	var done atomic.Bool
	var calls atomic.Int64
	var g errgroup.Group
	for i, n := range nodes {
		g.Go(func() error {
			for !done.Load() {
				if err := callEcho(n, nodes[(i+1)%size]); err != nil {
					return err
				}
				calls.Add(1)
				time.Sleep(time.Millisecond)
			}
			return nil
		})
	}
	join := func() {
		for i, c := range certs {
			joiner := startNode(t, "new", c, map[string]HandlerFunc{"echo": echo})
			for _, n := range nodes {
				is.NoErr(callEcho(joiner, n))
				is.NoErr(callEcho(n, joiner))
			}
			is.NoErr(callEcho(nodes[i], joiner))
		}
	}
	steps := []struct {
		cert        string
		authorities []string
	}{
		{cert: first, authorities: []string{first, second}},
		{cert: second, authorities: []string{first, second}},
		{cert: second, authorities: []string{second}},
	}
	for _, s := range steps {
		for i, dir := range dirs {
			copyFiles(t, dir, s.cert, s.authorities...)
			is.NoErr(certs[i].Reload())
			join()
		}
	}
	done.Store(true)
	is.NoErr(g.Wait())
	is.True(calls.Load() > size)
	former := startNode(t, "former", old, map[string]HandlerFunc{"echo": echo})
	is.True(callEcho(former, nodes[0]) != nil)
	is.True(callEcho(nodes[0], former) != nil)
}

// copyFiles copies the certificate and key of the directory cert, and the
// authorities of the given directories, into dir.
func copyFiles(t *testing.T, dir, cert string, authorities ...string) {
	t.Helper()
	is := is.New(t)
	var pool []byte
	for _, a := range authorities {
		data, err := os.ReadFile(filepath.Join(a, "authority.pem"))
		is.NoErr(err)
		pool = append(pool, data...)
	}
	is.NoErr(os.WriteFile(filepath.Join(dir, "authority.pem"), pool, 0o600))
	for _, name := range []string{"cert.pem", "key.pem"} {
		data, err := os.ReadFile(filepath.Join(cert, name))
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(dir, name), data, 0o600))
	}
}

// callEcho makes one call between two nodes.
func callEcho(from, to *Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var out []byte
	return from.Call(ctx, to.Address(), "echo", []byte("x"), &out)
}
