package configuration

import (
	"encoding/hex"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Upper bounds of numeric settings. They are far above current sizes and catch
// mistakes such as a rate given in statements per day.
const (
	maxRate        = 10_000_000
	maxWeight      = 1_000_000
	maxConnections = 100_000
	// DefaultWeight is the weight of an organisation or zone without a weight setting.
	DefaultWeight = 1
)

// itemValues holds the value of one item; only the field for its kind is used.
type itemValues struct {
	organisation Organisation
	zone         Zone
	database     Database
	upstream     Upstream
	hash         string
}

type settingRule struct {
	required bool
	parse    func(*itemValues, string) error
}

type kindRules struct {
	nameParts  int // components of the name, separated by /
	nameFormat string
	settings   map[string]settingRule
}

var rulesByKind = map[Kind]kindRules{
	KindZone: {1, "a name", map[string]settingRule{
		"region": {true, func(v *itemValues, s string) error { return parseName(&v.zone.Region, s) }},
		"state": {false, func(v *itemValues, s string) error {
			return parseChoice(&v.zone.State, s, ZoneInService, ZoneOutOfService)
		}},
		"weight": {false, func(v *itemValues, s string) error { return parseInteger(&v.zone.Weight, s, 1, maxWeight) }},
	}},
	KindDatabase: {1, "a name", map[string]settingRule{
		"open": {false, func(v *itemValues, s string) error {
			if s != "yes" && s != "no" {
				return errors.New("expected yes or no")
			}
			v.database.Open = s == "yes"
			return nil
		}},
	}},
	KindUpstream: {2, "<database>/<upstream>", map[string]settingRule{
		"zone":    {true, func(v *itemValues, s string) error { return parseName(&v.upstream.Zone, s) }},
		"address": {true, func(v *itemValues, s string) error { return parseAddress(&v.upstream.Address, s) }},
		"agent":   {true, func(v *itemValues, s string) error { return parseAddress(&v.upstream.Agent, s) }},
		"slots":   {true, func(v *itemValues, s string) error { return parseInteger(&v.upstream.Slots, s, 1, maxConnections) }},
		"connections": {true, func(v *itemValues, s string) error {
			return parseInteger(&v.upstream.Connections, s, 1, maxConnections)
		}},
		"state": {false, func(v *itemValues, s string) error {
			return parseChoice(&v.upstream.State, s, UpstreamInService, UpstreamLeaving)
		}},
	}},
	KindOrganisation: {1, "a name", map[string]settingRule{
		"rate":      {true, func(v *itemValues, s string) error { return parseRate(&v.organisation.Rate, s) }},
		"burst":     {true, func(v *itemValues, s string) error { return parseRate(&v.organisation.Burst, s) }},
		"weight":    {false, func(v *itemValues, s string) error { return parseInteger(&v.organisation.Weight, s, 1, maxWeight) }},
		"databases": {true, func(v *itemValues, s string) error { return parseDatabases(&v.organisation.Databases, s) }},
	}},
	KindKey: {2, "<organisation>/<key name>", map[string]settingRule{
		"hash": {true, func(v *itemValues, s string) error { return parseHash(&v.hash, s) }},
	}},
}

// defaultValues returns the defaults for settings that the section of an added item
// omits.
func defaultValues() itemValues {
	return itemValues{
		organisation: Organisation{Weight: DefaultWeight, Keys: map[string]string{}},
		zone:         Zone{State: ZoneInService, Weight: DefaultWeight},
		database:     Database{Upstreams: map[ident.UpstreamName]Upstream{}},
		upstream:     Upstream{State: UpstreamInService},
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func validName(name string, parts int) bool {
	split := strings.Split(name, "/")
	if len(split) != parts {
		return false
	}
	return !slices.ContainsFunc(split, func(part string) bool { return !namePattern.MatchString(part) })
}

func parseName[T ~string](to *T, s string) error {
	if !namePattern.MatchString(s) {
		return errors.New("expected a name of lower-case letters, digits, -, _ and .")
	}
	*to = T(s)
	return nil
}

func parseChoice[T ~string](to *T, s string, choices ...T) error {
	if !slices.Contains(choices, T(s)) {
		return errors.Newf("expected one of %v", choices)
	}
	*to = T(s)
	return nil
}

func parseInteger(to *int, s string, low, high int) error {
	n, err := strconv.Atoi(s)
	if err != nil || n < low || n > high {
		return errors.Newf("expected a whole number from %d to %d", low, high)
	}
	*to = n
	return nil
}

func parseRate(to *float64, s string) error {
	rate, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(rate) || rate < 0 || rate > maxRate {
		return errors.Newf("expected a number from 0 to %d statements (per second for a rate)", maxRate)
	}
	*to = math.Abs(rate) // -0 has a different encoding from 0
	return nil
}

func parseAddress(to *string, s string) error {
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Port() == 0 {
		return errors.New("expected IP:port")
	}
	*to = address.String()
	return nil
}

func parseDatabases(to *[]ident.GroupName, s string) error {
	var databases []ident.GroupName
	for part := range strings.SplitSeq(s, ",") {
		var name ident.GroupName
		if err := parseName(&name, strings.TrimSpace(part)); err != nil {
			return errors.New("expected a comma-separated list of database names")
		}
		databases = append(databases, name)
	}
	slices.Sort(databases)
	*to = slices.Compact(databases)
	return nil
}

func parseHash(to *string, s string) error {
	text, found := strings.CutPrefix(s, "sha256:")
	sum, err := hex.DecodeString(text)
	if !found || err != nil || len(sum) != 32 {
		return errors.New("expected sha256: and 64 hexadecimal digits")
	}
	*to = hex.EncodeToString(sum)
	return nil
}
