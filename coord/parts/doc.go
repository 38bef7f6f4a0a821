// Package parts divides the upper limits of teams into parts that holders can
// use without communication.
//
// A limit is one row of the platform's table (Account). The row allocates a part
// of the limit to each zone, and lists the zone's holders with the amount that
// each held when it last recorded itself. A holder starts work only within its
// own part (Take). Inside a zone, holders transfer parts directly: the giver
// first lowers its own part (Serve), then the receiver raises its part (Accept).
// Between zones, and from and to the unallocated amount, parts move by a
// conditional write of the row (Settle).
//
// The sum of the parts never exceeds the limit. Inside a zone this is ensured by
// rounds. Every holder of the zone records in each round what it holds. Once all
// of them have recorded themselves in the same round, the rest of the zone's
// part is free and can be claimed. A holder that enters a round records its part
// and what runs above its part. From then on it rejects transfers of earlier
// rounds. So a transfer in flight is either in the receiver's record or is never
// accepted, and the records form a consistent cut. What a lost answer or a dead
// holder makes unavailable is free again after the next round.
//
// A dead holder is removed (RemoveHolder) once other holders have adopted all its
// running tasks. Its name must not be used again: a restarted process needs a
// new one. Holders return unused parts to the row after a delay. A zone that is
// partitioned from the platform keeps its holders' parts, and other zones can't
// take its standing part.
package parts
