package view

import "testing"

func members(addresses ...string) (all []Member) {
	for _, a := range addresses {
		all = append(all, Member{Address: a, Incarnation: 1})
	}
	return all
}

// What no agreement can have made is refused.
func TestCheck(t *testing.T) {
	founding := Initial(1, members("a", "b", "c"))
	other := Member{Address: "c", Incarnation: 2}
	for name, c := range map[string]struct {
		view  View
		right bool
	}{
		"founding":                 {founding, true},
		"a member more":            {founding.Join(members("d")[0], Member{}), true},
		"an exchange":              {founding.Join(members("d")[0], founding.Members[0]), true},
		"another disk":             {founding.Join(other, founding.Members[2]), true},
		"no members":               {View{Mesh: 1, Epoch: 2}, false},
		"no old members":           {View{Mesh: 1, Epoch: 2, Next: members("a")}, false},
		"an address twice":         {View{Mesh: 1, Epoch: 2, Members: append(members("a", "c"), other, members("c")[0])}, false},
		"two members exchanged":    {View{Mesh: 1, Epoch: 2, Members: members("a", "b", "c"), Next: members("a", "d", "e")}, false},
		"two members more":         {View{Mesh: 1, Epoch: 2, Members: members("a"), Next: members("a", "b", "c")}, false},
		"two members less":         {View{Mesh: 1, Epoch: 2, Members: members("a", "b", "c"), Next: members("a")}, false},
		"an address twice in next": {View{Mesh: 1, Epoch: 2, Members: members("a", "b"), Next: append(members("a", "b"), Member{Address: "b", Incarnation: 3})}, false},
	} {
		if err := c.view.Validate(); (err == nil) != c.right {
			t.Errorf("%s: %v", name, err)
		}
	}
}
