package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["abandon"] = abandonCase }

const (
	cancelTime = 3 * time.Second // cancel_ms
	stability  = 3 * time.Second // stability_ms
)

// abandonCase: for 4.5 s the store loses the answers of 0.35 of the writes and does them 1 to 6 s
// late. Clients cancel the jobs whose submission got no answer that tells its outcome, and some
// of those that were accepted.
func abandonCase() (int, string) {
	zones := []string{"za", "zb"}
	r := newRig(kinds{"job": {work: 500 * time.Millisecond, cpu: 1000}}, machines(12, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i/6)} }),
		[]string{"za", "za", "zb", "zb"}, route{"proofs", "/proofs/", 0, 4})
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.store.loseAnswers(0.35)
		r.note("store: loses answers")
	}
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	acked := map[string]time.Time{} // when the cancellation was acknowledged, by job
	doubtful := 0
	var calm time.Time // when the store answers again
	time.AfterFunc(4500*time.Millisecond, func() {
		r.store.loseAnswers(0)
		mu.Lock()
		calm = time.Now()
		mu.Unlock()
		r.note("store: answers again")
	})
	for range 100 {
		wg.Go(func() {
			for n := 0; time.Since(began) < 4500*time.Millisecond; n++ {
				id := fmt.Sprintf("%016x", rand.Uint64())
				code := r.send(http.MethodPost, "/proofs/"+id, `{"spec":"job","steps":[{"count":2,"cpu":1000,"mem_mb":256,"est_ms":500}]}`)
				unknown := code == 0 || code == http.StatusGatewayTimeout
				if !unknown && (code != http.StatusOK || n%4 > 0) {
					time.Sleep(rand.N(400 * time.Millisecond))
					continue
				}
				for range 20 {
					if code := r.send(http.MethodDelete, "/proofs/"+id, ""); code == http.StatusOK || code == http.StatusGone {
						mu.Lock()
						acked[id] = time.Now()
						if unknown {
							doubtful++
						}
						mu.Unlock()
						r.note("client: cancelling of %s is acknowledged with %d", id, code)
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(12 * time.Second)
	late := 0
	for id, at := range acked {
		for _, s := range r.startsOf(id) {
			if s.at.Sub(at) > cancelTime && s.at.Sub(calm) > stability {
				late++
				r.note("UNASKED: %s started %.1f s after that and %.1f s after the end of the impairment", s.task, s.at.Sub(at).Seconds(), s.at.Sub(calm).Seconds())
			}
		}
	}
	why := fmt.Sprintf("of %d jobs whose cancelling was acknowledged, %d of them of unknown outcome, %d tasks started more than %v later", len(acked), doubtful, late, cancelTime)
	if late > 0 {
		return broken, why
	}
	return held, why
}

// send sends a request to any node and returns the status, 0 for no answer within three seconds.
func (r *rig) send(method, path, body string) int {
	n := r.nodes[rand.IntN(len(r.nodes))]
	req, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+key1)
	req.Header.Set("X-Balsamford-Deadline-Ms", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		r.note("client: %s %s at %s: no answer", method, path, n.name)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	r.note("client: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, data)
	return resp.StatusCode
}
