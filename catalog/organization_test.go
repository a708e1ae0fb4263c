package catalog

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestIntersectHomes guards against an empty intersection that is taken for "all regions".
func TestIntersectHomes(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		a, b, want []string
		permitted  bool
	}{
		{nil, nil, nil, true},
		{[]string{"x"}, nil, []string{"x"}, true},
		{nil, []string{"x", "y"}, []string{"x", "y"}, true},
		{[]string{"x", "y"}, []string{"y", "z"}, []string{"y"}, true},
		{[]string{"x", "y"}, []string{"y"}, []string{"y"}, true},
		{[]string{"x"}, []string{"y"}, nil, false},
	} {
		got, permitted := intersectHomes(test.a, test.b)
		c.Check(slices.Equal(got, test.want), qt.IsTrue, qt.Commentf("%+v: got %v", test, got))
		c.Check(permitted, qt.Equals, test.permitted, qt.Commentf("%+v", test))
	}
}

// manyOrganizations returns organizations with keys, and a service with the levels of their
// three priorities.
func manyOrganizations(organizations, keys int) (*Organizations, *Service) {
	all := NewOrganizations()
	for i := range organizations {
		priority := i % 3
		var digests []Digest
		for k := range keys {
			digests = append(digests, DigestOf(keyOf(i, k)))
		}
		all.Add(&Organization{Name: fmt.Sprint(i), Priority: &priority, Homes: []string{"cairo"}}, digests)
	}
	service := &Service{Name: "s", Work: map[string]Work{"a": {Name: "a"}, "b": {Name: "b", Priority: 1, Rank: Batch}}}
	snapshot := &Snapshot{Organizations: all, Services: map[string]*Service{"s": service}}
	snapshot.SetLevels()
	return all, service
}

func keyOf(organization, key int) string { return fmt.Sprintf("key-%020d-%08d", organization, key) }

// TestAuthenticationDoesNotAllocate guards against work for the garbage collector on the path
// of each request.
func TestAuthenticationDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	all, service := manyOrganizations(20, 2)
	key := keyOf(11, 1)
	allocations := testing.AllocsPerRun(100, func() {
		work, _ := service.WorkOf(all.Authenticate(key), service.Work["b"])
		if work.Priority != 5 {
			t.Errorf("level %d, want 5", work.Priority)
		}
	})
	c.Check(allocations, qt.Equals, 0.0)
}

func BenchmarkAuthenticate(b *testing.B) {
	all, service := manyOrganizations(2000, 20)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = keyOf(i*7%2000, i%20)
	}
	work := service.Work["b"]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		organization := all.Authenticate(keys[i%len(keys)])
		if _, permitted := service.WorkOf(organization, work); !permitted {
			b.Fatal("not permitted")
		}
	}
}
