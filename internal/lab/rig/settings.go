package rig

import (
	"encoding/json"

	"beechwing/internal/lab/plan"
)

// settings returns the JSON settings that the platform passes to one proxy of the schedule.
func settings(s *plan.Schedule, p int) string {
	zones := make([]string, len(s.Zones))
	for i, z := range s.Zones {
		zones[i] = z.Name
	}
	classes := make([]map[string]any, len(s.Classes))
	longest := 0.0
	for i, k := range s.Classes {
		classes[i] = map[string]any{"Name": k.Name, "Effect": k.Effect, "Group": k.Group, "DedupWindowS": k.Window.D().Seconds(),
			"AimS": k.Aim.D().Seconds(), "DeadlineS": k.Deadline.D().Seconds(), "Credit": k.Worth, "LateWorth": k.LateWorth}
		longest = max(longest, k.Deadline.D().Seconds())
	}
	text, err := json.Marshal(map[string]any{
		"Balancers": len(s.Proxies), "Me": p, "Zone": s.Proxies[p].Zone, "Dcs": zones, "Discovery": "ask", "Classes": classes,
		"FamilyInfo": map[string]any{"WarmKeys": s.Host.WarmKeys > 0},
		"Limits": map[string]any{"Cancelling": true, "RetryAfter": true, "MaxRetryAfterS": longest,
			"MaxAttempts": s.Proxy.MaxAttempts, "ConnectTimeoutS": s.Proxy.Connect.D().Seconds(), "ConnIdleS": s.Proxy.ConnIdle.D().Seconds()},
		"Prices": map[string]any{"CrossZone": s.Proxy.CrossZone},
		"Rules": map[string]any{"AskWithinS": s.Proxy.AskWithin.D().Seconds(), "StopSendingWithinS": s.Proxy.Grace.D().Seconds(),
			"ColdFrom": s.Host.ColdFrom, "ColdS": s.Host.Cold.D().Seconds(), "FallMultiple": s.Host.FallMultiple,
			"TipAfterS": s.Host.FallAfter.D().Seconds()},
		"Report": map[string]any{"How": "none"}, "WeightKind": "nominal", "WorthBy": "request"})
	if err != nil {
		panic(err) // all values in the map can be encoded as JSON
	}
	return string(text)
}
