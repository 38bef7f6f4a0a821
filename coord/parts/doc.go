// Package parts splits the upper limits of teams into parts that holders
// use without asking anybody.
//
// A limit is one row of the platform's table (Account). It gives each zone a
// part, and lists the zone's holders with what each held when it last
// recorded itself. A holder starts work only inside its own part (Take).
// Inside a zone, parts move directly: the giver lowers itself first (Serve),
// then the receiver raises itself (Accept). Between zones and out of what
// nobody holds, they move by one conditional write of the row (Settle).
//
// The sum of the parts is never above the limit. Inside a zone this rests on
// rounds: what a zone's holders have not recorded between them in one and
// the same round is free to be claimed, once all of them have recorded. A
// holder that enters a round records what it holds and what runs above its
// part; from then on it refuses what was given to it in an earlier round. So a
// gift that was under way is either in the receiver's record or never
// arrives, the records are a consistent cut, and a lost answer or a dead
// holder costs room only until the next round.
//
// A holder that died is buried (Bury) once other holders have adopted all its
// running tasks. Its name must not come back: a restarted process takes a new
// one. Unused parts go back to the row after a while, but a zone that is cut
// off keeps what it has, and no other zone takes its standing part.
package parts
