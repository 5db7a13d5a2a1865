package member

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"
)

// LoadKeys reads a file of encryption keys, one per line in base64, of 16, 24 or 32 bytes each. It rejects a file to
// which anyone but the owner has access.
func LoadKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("members: keys: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("members: keys: permissions of %s allow access by users other than its owner", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members: keys: %w", err)
	}
	var keys [][]byte
	var errs []error
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
			// The error must not reveal any of the key.
			errs = append(errs, fmt.Errorf("%s:%d: key is not 16, 24 or 32 bytes in base64", path, i+1))
			continue
		}
		keys = append(keys, key)
	}
	if len(errs) == 0 && len(keys) == 0 {
		errs = append(errs, fmt.Errorf("%s: file contains no key", path))
	}
	return keys, errors.Join(errs...)
}
