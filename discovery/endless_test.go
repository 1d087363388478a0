package discovery_test

import (
	"context"
	"fmt"
	"testing"

	"lovageshift"
	"lovageshift/discovery"
	"lovageshift/platform"
)

// endlessStore has one more page of large records after each.
type endlessStore struct {
	discovery.Store
	bytes int // of the records that it has returned
}

func (s *endlessStore) Range(_ context.Context, _, after string) (platform.Page, error) {
	page := platform.Page{Position: lovageshift.StorePosition{Revision: 1}, More: true}
	for i := range 4 {
		value := make([]byte, 1<<20)
		page.Items = append(page.Items, platform.Item{Key: fmt.Sprintf("%s%d", after, i), Value: value, Revision: 1})
		s.bytes += len(value)
	}
	return page, nil
}

// Guards against a store whose list of records does not end and takes the memory of every entry that reads it.
func TestListWithoutEndIsCut(t *testing.T) {
	const most, page = 32 << 20, 4 << 20
	store := &endlessStore{}
	if _, _, err := discovery.ReadView(context.Background(), store, "10.0.0.1:80"); err != nil {
		t.Fatal(err)
	}
	if store.bytes > most+page {
		t.Fatalf("%d bytes of records were read", store.bytes)
	}
}
