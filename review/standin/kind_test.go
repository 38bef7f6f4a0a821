package standin

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["kind"] = kindCase }

// kindCase: some executors crash and start again under their ids and addresses, as another
// kind. Later steps that require the earlier kind may not start there.
func kindCase() (int, string) {
	zones := []string{"za", "zb"}
	k := kinds{"job": {work: 400 * time.Millisecond, cpu: 1000}}
	r := newRig(k, machines(48, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i%2)} }), []string{"za", "za", "zb", "zb"},
		route{"proofs", "/proofs/", 0, 4})
	time.Sleep(4 * time.Second)
	if r.trouble {
		victims := r.executors[:7]
		for _, e := range victims {
			e.crash()
		}
		time.Sleep(time.Second)
		for _, e := range victims {
			e.cfg.labels = []string{"b", e.cfg.labels[1]}
			if err := e.start(); err != nil {
				r.fatal("%v", err)
			}
			r.note("executor %s starts again, and has registered", e)
		}
	}
	time.Sleep(8 * time.Second)
	for i := range 10 {
		r.submit(fmt.Sprintf("/proofs/%016x", 0xf00+i), key1, `{"spec":"job","steps":[{"count":24,"cpu":4000,"mem_mb":512,"est_ms":400,"requires":"a"}]}`)
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	wrong, n := 0, 0
	for i := range 10 {
		for _, s := range r.startsOf(fmt.Sprintf("%016x", 0xf00+i)) {
			n++
			if !slices.Contains(s.labels, "a") {
				wrong++
			}
		}
	}
	if wrong > 0 {
		return broken, fmt.Sprintf("%d of %d starts were on executors without the required label, 8 s and more after these had registered", wrong, n)
	}
	return held, fmt.Sprintf("all of %d starts were on executors with the required label", n)
}
