package config

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestEncodedSetsAreReadBack checks that sets with arbitrary notes are equal
// after encoding and parsing.
func TestEncodedSetsAreReadBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := NewSet()
		note := rapid.StringN(0, 30, maxNoteBytes)
		name := rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`)
		for range rapid.IntRange(0, 5).Draw(r, "teams") {
			s.Put(&Team{Name: name.Draw(r, "team"), Note: note.Draw(r, "note")})
		}
		s.Put(&Queue{
			Name: name.Draw(r, "queue"), Note: note.Draw(r, "note"), Open: rapid.Bool().Draw(r, "open"),
			Teams: rapid.SliceOf(note).Draw(r, "teams"), Kinds: []wire.Kind{wire.Quick},
		})
		s.Put(&Share{Name: name.Draw(r, "share"), Team: note.Draw(r, "team"), Weight: rapid.Float64Range(0, 1000).Draw(r, "weight")})
		s.Put(&Endpoint{Name: "e", Needs: wire.Needs{CPU: rapid.Int64().Draw(r, "cpu")}})
		again, faults := Parse(File{Name: "a", Data: s.Encode()})
		if len(faults) > 0 {
			r.Fatalf("%v in\n%s", faults[0], s.Encode())
		}
		if again.Sum() != s.Sum() {
			r.Fatalf("%s read back as\n%s", s.Encode(), again.Encode())
		}
	})
}

// TestAnyTextIsParsed checks that Parse and Check don't panic on any text.
func TestAnyTextIsParsed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		piece := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"[team.a]\n", "[", "]", "=", "\n", "\"", "'''", "note = \"x\"\n", "[[", "{", "#", "\x00", "[limit.x]\nteam = \"a\"\n"}))
		text := ""
		for _, s := range rapid.SliceOf(piece).Draw(r, "pieces") {
			text += s
		}
		set, _ := Parse(File{Name: "a", Data: []byte(text)})
		set.Check()
	})
}
