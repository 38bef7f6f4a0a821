package roster

import "time"

// entry is what a roster knows of another member. All times are readings of
// the roster's clock.
type entry struct {
	member Member
	met    bool          // it was heard, or another member told of it
	alive  bool          // and it hasn't been called dead since
	heard  time.Duration // when it was last heard directly
	direct bool          // heard is set
	watch  time.Duration // since when it is called in each round
	call   bool          // it is called in each round
	helped time.Duration // when another member last answered a question about it
	sign   time.Duration // when one that isn't alive was called dead, or when it was found
	found  time.Duration // when settings or the host list last named it, or it was met first
	listed time.Duration // until when the host list's word counts that it is leaving
	probed time.Duration // when one that isn't alive was last called
	tries  int           // calls before it was met
	busy   bool          // a call to it is under way
	sends  int           // how many messages still pass word of it on
}

// silence returns for how long a member that is called in each round hasn't
// been heard.
func (e *entry) silence(now time.Duration) time.Duration { return now - max(e.heard, e.watch) }

// leaving reports whether the member or the host list says that it stops.
func (e *entry) leaving(now time.Duration) bool {
	return e.member.Leaving || (e.listed > 0 && now < e.listed)
}

// word returns what is passed on of the member.
func (e *entry) word(now time.Duration) word {
	w := word{Member: e.member, Dead: !e.alive}
	if w.Dead {
		w.Silent = now - e.sign
	}
	return w
}

// described returns the member with what the host list says of it.
func (e *entry) described(now time.Duration) Member {
	m := e.member
	m.Leaving = e.leaving(now)
	return m
}
