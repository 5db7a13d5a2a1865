package main

import (
	"time"

	"beechwing/internal/mesh/listener"
	"beechwing/internal/mesh/routeconfig"
)

// maxConfiguredTimeout bounds configured timeouts: a larger one has no effect in practice and may exceed time.Duration.
const maxConfiguredTimeout = 24 * time.Hour

// listenerLimits returns the limits of a configuration, with the defaults for limits that it does not set. nil stands for no
// configuration.
func listenerLimits(c *routeconfig.Limits) listener.Limits {
	limits := listener.DefaultLimits
	if c == nil {
		return limits
	}
	limits.HeadTimeout = configuredTimeout(c.HeaderWaitMs, limits.HeadTimeout)
	limits.IdleTimeout = configuredTimeout(c.IdleWaitMs, limits.IdleTimeout)
	if c.HeaderBytes > 0 {
		limits.HeadBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		limits.BodyBytes = min(limits.BodyBytes, c.BodyBytes)
	}
	return limits
}

// configuredTimeout converts a configured number of milliseconds. 0 stands for the default.
func configuredTimeout(milliseconds float64, defaultValue time.Duration) time.Duration {
	switch {
	case milliseconds <= 0:
		return defaultValue
	case milliseconds >= float64(maxConfiguredTimeout/time.Millisecond):
		return maxConfiguredTimeout
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}
