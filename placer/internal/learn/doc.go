// Package learn keeps what tasks of a team's job really used and how long
// they really ran, against what was declared, and corrects the next
// declarations by it within bounds.
package learn
