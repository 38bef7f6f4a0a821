package jobs

import "context"

// lentHere lets tasks wait here for their drivers. It answers once some have
// room, or after lendWait.
func (d *Driver) lentHere(ctx context.Context, in []*book) noted {
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	for {
		changed := d.loans.watch()
		out, news := d.bookLoans(in)
		if news {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out
		}
	}
}

// bookLoans answers each word on tasks that wait here and reports whether the
// driver should know of it at once.
func (d *Driver) bookLoans(in []*book) (noted, bool) {
	out := noted{Room: d.queue.Backlog()}
	news := false
	for _, b := range in {
		answer := noted{Void: true} // of a driver that this one has replaced
		if d.find(b.ID) == nil {
			answer = d.loans.book(b)
		}
		out.Loans = append(out.Loans, answer)
		news = news || answer.Void || len(answer.Kept) > 0 || b.Drop
	}
	return out, news
}
