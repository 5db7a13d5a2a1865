package sidecar

import (
	"strings"

	"beechwing/internal/mesh/routeconfig"
)

// tenantSeparator stands between the host name and the idempotency key in the key of an operation. No header contains it.
const tenantSeparator = "\x00"

// operationKey returns the key of an operation: the tenant, which is the host name as the client spelt it, and its idempotency
// key.
func operationKey(host, idempotencyKey string) string { return host + tenantSeparator + idempotencyKey }

// registersOf returns the names of the registers of an operation in the order in which they are claimed. A host name may be
// spelt with a port and in either case, so what all its spellings have in common is the register of the canonical host name. The
// register of the spelling is claimed as well, and first, because it is the only one that earlier versions know: a repeat that
// is spelt the same way may have reached one of them, or may yet.
func registersOf(key string) []string {
	host, idempotencyKey, found := strings.Cut(key, tenantSeparator)
	if !found {
		return []string{key}
	}
	canonical := routeconfig.CanonicalHost(host)
	if canonical == host {
		return []string{key}
	}
	return []string{key, operationKey(canonical, idempotencyKey)}
}
