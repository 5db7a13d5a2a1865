package capacity

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	heapPerProxy   = 600 << 10 // bytes of the live heap, at most
	heapPerRecord  = 1400      // and for each other proxy that it knows
	heapGrowth     = 2         // times the live heap, until the collector has been through it
	memoryShareMax = 2         // one half of the machine's memory
)

// MemoryBound is how much of this machine's memory a fleet may take, in bytes.
func MemoryBound() (uint64, error) {
	var machine unix.Sysinfo_t
	if err := unix.Sysinfo(&machine); err != nil {
		return 0, errors.Wrap(err, "capacity: the machine's memory")
	}
	return machine.Totalram * uint64(machine.Unit) / memoryShareMax, nil
}

// needs is how much memory a fleet is expected to take, in bytes.
func (o *Options) needs() uint64 {
	proxy := uint64(heapPerProxy + heapPerRecord*o.Proxies)
	return heapGrowth * proxy * uint64(o.Proxies+o.Servers)
}

func (o *Options) checkMemory() error {
	bound, err := MemoryBound()
	if err != nil {
		return err
	}
	if needs := o.needs(); needs > bound {
		return errors.Newf("capacity: %d proxies would take %d MB, of %d MB that a fleet may take here",
			o.Proxies, needs/megabyte, bound/megabyte)
	}
	return nil
}
