package jobs

import "context"

// lentHere lets tasks wait here for their drivers. It answers once some have
// room, or after lendWait.
func (d *Driver) servePoll(ctx context.Context, in []*reserveRequest) peerReply {
	ctx, cancel := context.WithTimeout(ctx, offloadPollTimeout)
	defer cancel()
	for {
		changed := d.foreignJobs.watch()
		out, urgent := d.enqueueForeign(in)
		if urgent {
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
func (d *Driver) enqueueForeign(in []*reserveRequest) (peerReply, bool) {
	out := peerReply{Count: d.queue.Backlog()}
	urgent := false
	for _, req := range in {
		answer := peerReply{Rejected: true} // of a driver that this one has replaced
		if d.find(req.ID) == nil {
			answer = d.foreignJobs.enqueue(req)
		}
		out.Offloads = append(out.Offloads, answer)
		urgent = urgent || answer.Rejected || len(answer.Grants) > 0 || req.Release
	}
	return out, urgent
}
