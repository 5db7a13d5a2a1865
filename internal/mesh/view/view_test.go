package view

import "testing"

func members(addresses ...string) (all []Member) {
	for _, a := range addresses {
		all = append(all, Member{Address: a, Incarnation: 1})
	}
	return all
}

// Validate refuses views that no sequence of changes can produce.
func TestCheck(t *testing.T) {
	initial := Initial(1, members("a", "b", "c"))
	other := Member{Address: "c", Incarnation: 2}
	for name, c := range map[string]struct {
		view  View
		valid bool
	}{
		"initial":          {initial, true},
		"a member more":    {initial.Join(members("d")[0], Member{}), true},
		"a replacement":    {initial.Join(members("d")[0], initial.Members[0]), true},
		"another disk":     {initial.Join(other, initial.Members[2]), true},
		"no members":       {View{Mesh: 1, Epoch: 2}, false},
		"no old members":   {View{Mesh: 1, Epoch: 2, Next: members("a")}, false},
		"an address twice": {View{Mesh: 1, Epoch: 2, Members: append(members("a", "c"), other, members("c")[0])}, false},
		"two members replaced": {View{Mesh: 1, Epoch: 2, Members: members("a", "b", "c"),
			Next: members("a", "d", "e")}, false},
		"two members more": {View{Mesh: 1, Epoch: 2, Members: members("a"), Next: members("a", "b", "c")}, false},
		"two members less": {View{Mesh: 1, Epoch: 2, Members: members("a", "b", "c"), Next: members("a")}, false},
		"an address twice in next": {View{Mesh: 1, Epoch: 2, Members: members("a", "b"),
			Next: append(members("a", "b"), Member{Address: "b", Incarnation: 3})}, false},
	} {
		if err := c.view.Validate(); (err == nil) != c.valid {
			t.Errorf("%s: Validate returned %v", name, err)
		}
	}
}
