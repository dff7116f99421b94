package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type addrPort = netip.AddrPort

const (
	nameBounds    = "lower-case letters, digits, `-`, `_`, `.`; at most 63"
	addressBounds = "IP:port"
	pathBounds    = "path"
	flagBounds    = "yes or no"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

type store = func(*Settings, string) error

func name(set func(*Settings, string)) store {
	return func(s *Settings, v string) error {
		if !namePattern.MatchString(v) {
			return errors.New("expected a name of " + nameBounds)
		}
		set(s, v)
		return nil
	}
}

func text(field func(*Settings) *string) store {
	return func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}
}

func parseAddress(v string) (addrPort, error) {
	address, err := netip.ParseAddrPort(v)
	if err != nil {
		return addrPort{}, errors.New("expected IP:port")
	}
	return address, nil
}

func address(field func(*Settings) *addrPort) store {
	return func(s *Settings, v string) (err error) {
		*field(s), err = parseAddress(v)
		return err
	}
}

func addresses(field func(*Settings) *[]addrPort) store {
	return func(s *Settings, v string) error {
		for _, part := range strings.Split(v, ",") {
			address, err := parseAddress(strings.TrimSpace(part))
			if err != nil {
				return errors.New("expected a comma-separated list of IP:port")
			}
			*field(s) = append(*field(s), address)
		}
		return nil
	}
}

func flag(field func(*Settings) *bool) store {
	return func(s *Settings, v string) error {
		if v != "yes" && v != "no" {
			return errors.New("expected yes or no")
		}
		*field(s) = v == "yes"
		return nil
	}
}

func integer(section, name, initial string, low, high int, unit, meaning string, field func(*Settings) *int) option {
	bounds := fmt.Sprintf("%d to %d %s", low, high, unit)
	return option{section, name, initial, false, bounds, meaning, func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return errors.Newf("expected %s", bounds)
		}
		*field(s) = n
		return nil
	}}
}

func duration(section, name, initial string, low, high time.Duration, meaning string, field func(*Settings) *time.Duration) option {
	bounds := fmt.Sprintf("duration with unit, %s to %s", low, high)
	return option{section, name, initial, false, bounds, meaning, func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return errors.Newf("expected a %s", bounds)
		}
		*field(s) = d
		return nil
	}}
}

func choice(section, name, initial string, values []string, meaning string, field func(*Settings) *string) option {
	bounds := strings.Join(values, ", ")
	return option{section, name, initial, false, bounds, meaning, func(s *Settings, v string) error {
		for _, value := range values {
			if v == value {
				*field(s) = v
				return nil
			}
		}
		return errors.Newf("expected one of %s", bounds)
	}}
}
