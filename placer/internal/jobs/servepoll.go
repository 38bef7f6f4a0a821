package jobs

import "context"

// servePoll queues tasks of other drivers. It answers once some of them have
// capacity, or after offloadPollTimeout.
func (d *Driver) servePoll(ctx context.Context, in []*reserveRequest) peerReply {
	ctx, cancel := context.WithTimeout(ctx, offloadPollTimeout)
	defer cancel()
	for {
		changed := d.foreignJobs.watch()
		out, replyNow := d.enqueueForeign(in)
		if replyNow {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out
		}
	}
}

// enqueueForeign answers each request of a poll and reports whether the reply
// has to be sent at once.
func (d *Driver) enqueueForeign(in []*reserveRequest) (peerReply, bool) {
	out := peerReply{Count: d.queue.Backlog()}
	replyNow := false
	for _, req := range in {
		answer := peerReply{Rejected: true} // sent by an earlier driver, if this placer drives the job
		if d.find(req.ID) == nil {
			answer = d.foreignJobs.enqueue(req)
		}
		out.Offloads = append(out.Offloads, answer)
		replyNow = replyNow || answer.Rejected || len(answer.Grants) > 0 || req.Release
	}
	return out, replyNow
}
