package settings

import (
	"fmt"
	"strings"
	"testing"

	"beechwing/balancer"
)

const example = `{"Balancers": 2, "Me": 1, "Zone": 1, "Discovery": "ask", "Unknown": {"Key": [1, 2]},
 "Classes": [{"AimS": 1.0, "Credit": 2.0, "DeadlineS": 3.0, "DedupWindowS": 4.0, "Effect": "by_key",
 "Group": "cell", "LateWorth": 0.5, "Name": "log"}], "Dcs": ["a", "b"],
 "Limits": {"ConnIdleS": 10.0, "MaxAttempts": 6, "RetryAfter": true, "MaxRetryAfterS": 2.0},
 "Report": {"Columns": ["active", "cpu", "novel"], "How": "answers"}, "WorthBy": "work", "WeightKind": "rough",
 "Rules": {"AskWithinS": 10.0, "ColdFrom": 0.3, "ColdS": 9.0, "FallMultiple": 3.0, 
 "StopSendingWithinS": 0.75, "TipAfterS": 1.0}, "Tenants": [{"Name": "t", "QuotaRps": 33.0, "Share": 0.45}], "Prices": {"CrossZone": 0.03},
 "Goal": {"Punctual": 0.4, "MissAllowed": 0.02}}`

// TestConfig checks the conversion of a complete settings object.
func TestConfig(t *testing.T) {
	s, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Config(5)
	if err != nil {
		t.Fatal(err)
	}
	k := c.Classes[0]
	if c.Seed != 5 || c.Me != 1 || c.Zone != 1 || !c.AskForList || !c.WorthByWork || !c.Weighted ||
		c.MaxCoolDown != 2 || c.Punctual != 0.4 || c.MissAllowed != 0.02 || c.OverShareWorth != 1 ||
		c.Prices.CrossZone != 0.03 || c.Tenants[0].Share != 0.45 {
		t.Errorf("settings %+v", c)
	}
	if k.Effect != balancer.Keyed || k.Group != balancer.GroupCell || k.Window != 4 || k.Worth != 2 {
		t.Errorf("class %+v", k)
	}
	want := []balancer.LoadMetric{balancer.LoadInflight, balancer.LoadUtil, balancer.LoadOther}
	if fmt.Sprint(c.Report) != fmt.Sprint(want) {
		t.Errorf("report columns %v, want %v", c.Report, want)
	}
}

// TestBadSettings checks that invalid settings give an error that names the field.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"not an object", `4`, "settings"},
		{"unknown effect", `{"Classes": [{"Effect": "maybe"}]}`, "class 0: unknown effect"},
		{"a setting of a wrong type", `{"Limits": {"Probes": "yes"}}`, "Limits.Probes of type bool"},
		{"a share over one", `{"Goal": {"Punctual": 0.4, "MissAllowed": 1.5}}`, "Goal.MissAllowed is 1.5"},
		{"a goal of a wrong type", `{"Goal": {"Punctual": "much"}}`, "Goal.Punctual of type float64"},
		{"a negative weight", `{"Goal": {"Punctual": -1}}`, "Goal.Punctual is -1"},
		{"a negative aim", `{"Classes": [{"Effect": "once", "AimS": -0.1}]}`, "class 0: AimS is -0.1"},
		{"a zone beyond the list", `{"Dcs": ["a"], "Zone": 1}`, "Zone is 1, of 1"},
		{"unknown group", `{"Classes": [{"Effect": "by_key", "Group": "rack"}]}`, "class 0: unknown group"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(c.text))
			if err == nil {
				_, err = s.Config(1)
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}
