package revision_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/folder"
	"lovageshift/revision"
	"lovageshift/try"
)

// sampleSet returns a set with the revision. It has the files of the sample configuration and one more with the
// content.
func sampleSet(rev lovageshift.Revision, content string) *folder.Set {
	files, err := try.SampleFiles()
	So(err, ShouldBeNil)
	return &folder.Set{Revision: rev, Files: append(files, folder.NewFile("90-more.toml", []byte(content)))}
}

func TestState(t *testing.T) {
	Convey("Only a set of a higher revision replaces the configuration in force", t, func() {
		state := revision.NewState()
		So(state.Config(), ShouldBeNil)
		So(state.Activate(sampleSet(2, "[zones.a]\ninService = true\n")), ShouldBeNil)
		So(errors.Is(state.Activate(sampleSet(1, "[zones.a]\ninService = false\n")), revision.ErrOlder), ShouldBeTrue)
		So(errors.Is(state.Activate(sampleSet(2, "[zones.a]\ninService = false\n")), revision.ErrConflict), ShouldBeTrue)
		So(errors.Is(state.Activate(sampleSet(2, "[zones.a]\ninService = true\n")), revision.ErrSame), ShouldBeTrue)
		So(state.Config().Zones["a"].InService, ShouldBeTrue)
		So(state.Activate(sampleSet(3, "[zones.a]\ninService = false\n")), ShouldBeNil)
		So(state.Config().Revision, ShouldEqual, lovageshift.Revision(3))
	})
	Convey("An invalid set leaves the configuration in force, and a second set of the same files is refused with ErrRefused", t, func() {
		state := revision.NewState()
		So(state.Activate(sampleSet(2, "")), ShouldBeNil)
		changed := state.Changed()
		So(errors.Is(state.Activate(sampleSet(3, "[zones.a]\ninService = 7\n")), folder.ErrInvalid), ShouldBeTrue)
		So(errors.Is(state.Activate(sampleSet(3, "[zones.a]\ninService = 7\n")), revision.ErrRefused), ShouldBeTrue)
		So(state.Config().Revision, ShouldEqual, lovageshift.Revision(2))
		select {
		case <-changed:
			So("changed", ShouldBeEmpty)
		default:
		}
	})
}
