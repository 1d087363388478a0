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

// set returns the sample with one more file.
func set(number lovageshift.Revision, content string) *folder.Set {
	files, err := try.SampleFiles()
	So(err, ShouldBeNil)
	return &folder.Set{Revision: number, Files: append(files, folder.NewFile("90-more.toml", []byte(content)))}
}

func TestBook(t *testing.T) {
	Convey("What is in force is replaced by a newer set only", t, func() {
		book := revision.NewState()
		So(book.Config(), ShouldBeNil)
		So(book.Activate(set(2, "[zones.a]\ninService = true\n")), ShouldBeNil)
		So(errors.Is(book.Activate(set(1, "[zones.a]\ninService = false\n")), revision.ErrOlder), ShouldBeTrue)
		So(errors.Is(book.Activate(set(2, "[zones.a]\ninService = false\n")), revision.ErrConflict), ShouldBeTrue)
		So(errors.Is(book.Activate(set(2, "[zones.a]\ninService = true\n")), revision.ErrSame), ShouldBeTrue)
		So(book.Config().Zones["a"].InService, ShouldBeTrue)
		So(book.Activate(set(3, "[zones.a]\ninService = false\n")), ShouldBeNil)
		So(book.Config().Revision, ShouldEqual, lovageshift.Revision(3))
	})
	Convey("A set with a fault changes nothing, and is known again", t, func() {
		book := revision.NewState()
		So(book.Activate(set(2, "")), ShouldBeNil)
		changed := book.Changed()
		So(errors.Is(book.Activate(set(3, "[zones.a]\ninService = 7\n")), folder.ErrInvalid), ShouldBeTrue)
		So(errors.Is(book.Activate(set(3, "[zones.a]\ninService = 7\n")), revision.ErrRefused), ShouldBeTrue)
		So(book.Config().Revision, ShouldEqual, lovageshift.Revision(2))
		select {
		case <-changed:
			So("changed", ShouldBeEmpty)
		default:
		}
	})
}
