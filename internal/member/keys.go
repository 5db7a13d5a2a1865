package member

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"
)

// LoadKeys reads a file of keys, one a line in base64, of 16, 24 or 32 bytes. A file that others can read is refused.
func LoadKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("members: keys: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("members: keys: %s can be read by others than its owner", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members: keys: %w", err)
	}
	var keys [][]byte
	var faults []error
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
			faults = append(faults, fmt.Errorf("%s:%d: not 16, 24 or 32 bytes in base64", path, i+1)) // and no word of the key
			continue
		}
		keys = append(keys, key)
	}
	if len(faults) == 0 && len(keys) == 0 {
		faults = append(faults, fmt.Errorf("%s: no key", path))
	}
	return keys, errors.Join(faults...)
}
