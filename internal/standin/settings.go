package standin

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/inifile"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// LoadSettings reads the settings file of the stand-in process. Problems carry
// SettingsSyntax, SettingsUnknown, SettingsInvalid or SettingsMissing.
func LoadSettings(path string) (Config, inifile.Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, inifile.Problems{{File: path, Code: resultcode.SettingsMissing, Text: err.Error()}}
	}
	return ParseSettings(path, data)
}

// ParseSettings reads the text of a settings file. Its sections are:
//
//	[platform]            address
//	[control]             address
//	[group NAME]          user, password
//	[upstream GROUP NAME] zone, address, agent, slots, connections, connect_delay,
//	                      ship_delay, lag, idle_transaction
//	[zone NAME]           network
//	[link FROM TO]        latency
//
// The first upstream of a group is its primary. Links are named as in Network.
func ParseSettings(path string, data []byte) (Config, inifile.Problems) {
	sections, problems := inifile.Parse(path, data, resultcode.SettingsSyntax)
	p := &settingsParser{path: path, problems: problems, groups: map[string]int{}}
	for _, section := range sections {
		p.section(section)
	}
	for _, g := range p.cfg.Groups {
		if len(g.Members) == 0 {
			p.report(0, resultcode.SettingsMissing, "group %s has no upstream", g.Name)
		}
	}
	p.problems.Sort()
	return p.cfg, p.problems
}

type settingsParser struct {
	path     string
	problems inifile.Problems
	cfg      Config
	groups   map[string]int
}

func (p *settingsParser) report(line int, code resultcode.Code, format string, args ...any) {
	problem := inifile.Problem{File: p.path, Line: line, Code: code, Text: fmt.Sprintf(format, args...)}
	p.problems = append(p.problems, problem)
}

// sectionForm is the number of words of a section's name and its settings.
type sectionForm struct {
	words    int
	settings []string
}

var sectionForms = map[string]sectionForm{
	"platform": {1, []string{"address"}},
	"control":  {1, []string{"address"}},
	"group":    {2, []string{"user", "password"}},
	"upstream": {3, []string{"zone", "address", "agent", "slots", "connections", "connect_delay", "ship_delay", "lag", "idle_transaction"}},
	"zone":     {2, []string{"network"}},
	"link":     {3, []string{"latency"}},
}

func (p *settingsParser) section(section inifile.Section) {
	words := strings.Fields(section.Name)
	form, ok := sectionForms[strings.Join(words[:min(1, len(words))], "")]
	if !ok || len(words) != form.words {
		p.report(section.Line, resultcode.SettingsUnknown, "unknown section [%s]", section.Name)
		return
	}
	r := &sectionReader{parser: p, settings: map[string]inifile.Setting{}}
	for _, setting := range section.Settings {
		if !slices.Contains(form.settings, setting.Name) {
			p.report(setting.Line, resultcode.SettingsUnknown, "unknown setting %q", setting.Name)
		}
		r.settings[setting.Name] = setting
	}
	p.apply(section.Line, words, r)
}

func (p *settingsParser) apply(line int, words []string, r *sectionReader) {
	switch words[0] {
	case "platform":
		p.cfg.PlatformAddress = r.address("address")
	case "control":
		p.cfg.ControlAddress = r.address("address")
	case "group":
		p.groups[words[1]] = len(p.cfg.Groups)
		p.cfg.Groups = append(p.cfg.Groups, upstream.Config{
			Name: ident.GroupName(words[1]), User: r.text("user"), Password: r.text("password"),
		})
	case "upstream":
		index, ok := p.groups[words[1]]
		if !ok {
			p.report(line, resultcode.SettingsMissing, "group %s is not defined above", words[1])
			return
		}
		g := &p.cfg.Groups[index]
		g.Members = append(g.Members, r.member(words[2]))
	case "zone":
		p.cfg.Zones = append(p.cfg.Zones, ZoneSource{Zone: words[1], Network: r.network("network")})
	case "link":
		p.cfg.Links = append(p.cfg.Links, Link{From: words[1], To: words[2], Latency: r.duration("latency")})
	}
}

// sectionReader reads typed values of one section; absent values are zero.
type sectionReader struct {
	parser   *settingsParser
	settings map[string]inifile.Setting
}

func (r *sectionReader) text(name string) string { return r.settings[name].Value }

func (r *sectionReader) invalid(name, want string) {
	setting := r.settings[name]
	r.parser.report(setting.Line, resultcode.SettingsInvalid, "%s: %q is not %s", name, setting.Value, want)
}

func (r *sectionReader) address(name string) string {
	value := r.text(name)
	host, _, err := net.SplitHostPort(value)
	if value != "" && (err != nil || net.ParseIP(host) == nil) {
		r.invalid(name, "IP:port")
	}
	return value
}

func (r *sectionReader) number(name string) int {
	if r.text(name) == "" {
		return 0
	}
	n, err := strconv.Atoi(r.text(name))
	if err != nil || n <= 0 {
		r.invalid(name, "a positive number")
	}
	return n
}

func (r *sectionReader) duration(name string) time.Duration {
	if r.text(name) == "" {
		return 0
	}
	d, err := time.ParseDuration(r.text(name))
	if err != nil || d < 0 {
		r.invalid(name, "a duration such as 5ms")
	}
	return d
}

func (r *sectionReader) network(name string) *net.IPNet {
	_, network, err := net.ParseCIDR(r.text(name))
	if err != nil {
		r.invalid(name, "a network such as 127.0.1.0/24")
	}
	return network
}

func (r *sectionReader) member(name string) upstream.MemberConfig {
	return upstream.MemberConfig{
		Name: ident.UpstreamName(name), Zone: ident.AvailabilityZone(r.text("zone")),
		Address: r.address("address"), AgentAddress: r.address("agent"),
		Slots: r.number("slots"), Connections: r.number("connections"), ConnectDelay: r.duration("connect_delay"),
		ShipDelay: r.duration("ship_delay"), Lag: r.duration("lag"),
		IdleTransaction: r.duration("idle_transaction"),
	}
}
