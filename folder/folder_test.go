package folder_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift/folder"
	"lovageshift/try"
)

// merge merges files with the given contents, named a.toml, b.toml and so on in their order.
func merge(files ...string) (*folder.Merged, error) {
	var set []folder.File
	for i, content := range files {
		set = append(set, folder.NewFile(string(rune('a'+i))+".toml", []byte(content)))
	}
	return folder.Explain(1, set)
}

func TestMerge(t *testing.T) {
	Convey("The sample configuration is valid", t, func() {
		files, err := try.SampleFiles()
		So(err, ShouldBeNil)
		_, err = folder.Merge(1, files)
		So(err, ShouldBeNil)
	})
	Convey("A field of a later file overrides the same field of an earlier file", t, func() {
		merged, err := merge("[zones.a]\ninService = true\n", "[zones.a]\ninService = false\n")
		So(err, ShouldBeNil)
		So(merged.Config.Zones["a"].InService, ShouldBeFalse)
		So(merged.Sources["zones.a.inService"].File, ShouldEqual, "b.toml")
		So(merged.Sources["zones.a.inService"].Line, ShouldEqual, 2)
	})
	Convey("Every fault has its file, line and key", t, func() {
		_, err := merge("[zones.a]\n", "[accounts.x]\nrate = 1\nburst = -5\ntier = \"none\"\nspeed = 3\n[zones.a]\ninService = 7\n[what.x]\n")
		var faults folder.Faults
		So(errors.As(err, &faults), ShouldBeTrue)
		So(errors.Is(err, folder.ErrInvalid), ShouldBeTrue)
		text := err.Error()
		So(text, ShouldContainSubstring, "b.toml:3: accounts.x.burst: must be above 0 tokens")
		So(text, ShouldContainSubstring, "b.toml:4: accounts.x.tier: no tier \"none\"")
		So(text, ShouldContainSubstring, "b.toml:5: accounts.x.speed: unknown key")
		So(text, ShouldContainSubstring, "b.toml:7: zones.a.inService: must be true or false")
		So(text, ShouldContainSubstring, "what: unknown section")
	})
	Convey("A syntax error has its file and line", t, func() {
		_, err := merge("[zones.a]\ninService = \n")
		So(err.Error(), ShouldStartWith, "a.toml:2")
	})
}

// TestIncrementalMergeMatchesFullMerge makes random edits to a set and compares a Merger, which parses only the
// affected files, with Merge, which parses all. It guards against an edit that leaves a stale or incomplete entity.
func TestIncrementalMergeMatchesFullMerge(t *testing.T) {
	snippets := []string{
		"[zones.a]\n[zones.b]\n", "[zones.b]\ninService=false\n", "[zones.c]\n",
		"[tiers.t]\nrank=1\n", "[tiers.t]\nfirstTokenMillis=5\n", "[tiers.u]\nrank=2\n", "[tiers.u]\nrank=1\n",
		"[accounts.x]\ntier=\"t\"\nrate=1\nburst=1\n", "[accounts.x]\nrate=9\n", "[accounts.x]\nrate=-1\n",
		"[limits]\nbodyBytes=5\n", "",
	}
	rapid.Check(t, func(t *rapid.T) {
		merger := folder.NewMerger()
		contents := []string{snippets[0], snippets[3], snippets[7], "", "", ""}
		for range 12 {
			contents[rapid.IntRange(0, len(contents)-1).Draw(t, "file")] = rapid.SampledFrom(snippets).Draw(t, "content")
			var files []folder.File
			for i, content := range contents {
				files = append(files, folder.NewFile(string(rune('a'+i))+".toml", []byte(content)))
			}
			incremental, incrementalErr := merger.Merge(1, files)
			full, fullErr := folder.Merge(1, files)
			if (incrementalErr == nil) != (fullErr == nil) {
				t.Fatalf("incremental: %v, full: %v", incrementalErr, fullErr)
			}
			if fullErr == nil && !reflect.DeepEqual(incremental, full.Config) {
				t.Fatalf("incremental %+v\nfull %+v", incremental, full.Config)
			}
		}
	})
}

func TestDirectory(t *testing.T) {
	Convey("An edit that keeps the file's modification time still raises the revision", t, func() {
		path := t.TempDir()
		file := filepath.Join(path, "a.toml")
		So(os.WriteFile(file, []byte("[zones.a]\n"), 0o600), ShouldBeNil)
		info, _ := os.Stat(file)
		directory := folder.NewDirectory(path)
		first, err := directory.Read()
		So(err, ShouldBeNil)
		So(os.WriteFile(file, []byte("[zones.b]\n"), 0o600), ShouldBeNil)
		So(os.Chtimes(file, info.ModTime(), info.ModTime()), ShouldBeNil)
		second, err := directory.Read()
		So(err, ShouldBeNil)
		So(second.Revision, ShouldBeGreaterThan, first.Revision)
	})
}

func FuzzMerge(f *testing.F) {
	f.Add("[zones.a]\ninService = true\n")
	f.Add("[accounts.x]\nrate = 1\nburst = [1]\n[limits]\nbodyBytes = 1e3\n")
	f.Add("accounts = 3\n[[zones]]\n")
	f.Fuzz(func(t *testing.T, content string) {
		merged, err := merge(content)
		if err == nil && merged.Config == nil {
			t.Fatal("neither a configuration nor an error")
		}
		if err != nil && strings.Contains(err.Error(), "(defaults)") {
			t.Fatalf("a fault without its file and line: %v", err)
		}
	})
}
