package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/settings"
)

type identity struct {
	ID   string `ini:"id" want:"name" required:"true" help:"Name."`
	Zone string `ini:"zone" want:"name" required:"true" help:"Zone."`
	Mode string `ini:"mode" want:"fast|safe" help:"Mode."`
}

type network struct {
	Address  netip.AddrPort   `ini:"address" required:"true" help:"Address."`
	Others   []netip.AddrPort `ini:"others" help:"Others."`
	Platform string           `ini:"platform" want:"url" help:"Platform."`
	Grace    time.Duration    `ini:"grace" help:"Grace."`
	Limit    int              `ini:"limit" help:"Limit."`
	Plain    bool             `ini:"plain" help:"Plain."`
}

type testSettings struct {
	Identity identity `ini:"who"`
	Network  network  `ini:"reach"`
}

func defaults() *testSettings {
	return &testSettings{
		Identity: identity{Mode: "safe"},
		Network:  network{Grace: 5 * time.Second, Limit: 7, Platform: "http://10.0.0.1:7400"},
	}
}

const good = "[who]\nid = gateway-1\nzone = uppsala-1\n[reach]\naddress = 10.0.0.7:7000\n"

func TestParseValidFile(t *testing.T) {
	target := defaults()
	must.NoError(t, settings.Parse("x.ini", []byte(good+"others = 10.0.0.8:1, [::1]:2\nplain = true\nlimit = 0\n"), target))
	must.Eq(t, "gateway-1", target.Identity.ID)
	must.Eq(t, "safe", target.Identity.Mode)
	must.Eq(t, "10.0.0.7:7000", target.Network.Address.String())
	must.SliceLen(t, 2, target.Network.Others)
	must.Eq(t, 5*time.Second, target.Network.Grace)
	must.True(t, target.Network.Plain)
	must.Eq(t, 0, target.Network.Limit)
}

// Every error must contain the file, line, section, key, value and what is
// allowed, so that an operator can correct the setting without reading the code.
func TestParseReportsInvalidSettings(t *testing.T) {
	cases := map[string]struct {
		text string
		want settings.Error
	}{
		"unknown section": {good + "[extra]\n", settings.Error{Line: 6, Section: "extra", Got: "extra", Want: "one of the sections reach, who"}},
		"unknown key":     {good + "adress = x\n", settings.Error{Line: 6, Section: "reach", Key: "adress", Got: "x", Want: "one of the keys address, others, platform, grace, limit, plain"}},
		"key outside":     {"id = a\n" + good, settings.Error{Line: 1, Key: "id", Got: "a", Want: "a key below a [section] line"}},
		"host name":       {strings.Replace(good, "10.0.0.7", "localhost", 1), settings.Error{Line: 5, Section: "reach", Key: "address", Got: "localhost:7000", Want: "an IP number and port such as 10.0.0.7:7000"}},
		"no port":         {strings.Replace(good, ":7000", "", 1), settings.Error{Line: 5, Section: "reach", Key: "address", Got: "10.0.0.7", Want: "an IP number and port such as 10.0.0.7:7000"}},
		"bad list":        {good + "others = 10.0.0.8:1, x\n", settings.Error{Line: 6, Section: "reach", Key: "others", Got: "10.0.0.8:1, x", Want: "a comma-separated list of an IP number and port such as 10.0.0.7:7000"}},
		"bad url":         {good + "platform = http://store/\n", settings.Error{Line: 6, Section: "reach", Key: "platform", Got: "http://store/", Want: "http:// or https:// with an IP number and port, such as http://10.0.0.7:7400"}},
		"no unit":         {good + "grace = 5\n", settings.Error{Line: 6, Section: "reach", Key: "grace", Got: "5", Want: "a positive duration such as 500ms, 5s or 2m"}},
		"zero duration":   {good + "grace = 0s\n", settings.Error{Line: 6, Section: "reach", Key: "grace", Got: "0s", Want: "a positive duration such as 500ms, 5s or 2m"}},
		"negative":        {good + "limit = -1\n", settings.Error{Line: 6, Section: "reach", Key: "limit", Got: "-1", Want: "a whole number of at least 0"}},
		"not a flag":      {good + "plain = perhaps\n", settings.Error{Line: 6, Section: "reach", Key: "plain", Got: "perhaps", Want: "true or false"}},
		"bad zone":        {strings.Replace(good, "uppsala-1", "Uppsala 1", 1), settings.Error{Line: 3, Section: "who", Key: "zone", Got: "Uppsala 1", Want: "a name of a-z, 0-9, '-' and '.'"}},
		"bad choice":      {"[who]\nmode = slow\n" + good, settings.Error{Line: 2, Section: "who", Key: "mode", Got: "slow", Want: "one of fast, safe"}},
		"key twice":       {good + "limit = 1\nlimit = 2\n", settings.Error{Line: 7, Section: "reach", Key: "limit", Got: "limit", Want: "each key once"}},
		"missing key":     {strings.Replace(good, "zone = uppsala-1\n", "", 1), settings.Error{Section: "who", Key: "zone", Want: "a value: this key has no default"}},
		"missing section": {"[who]\nid = a\nzone = b\n", settings.Error{Section: "reach", Key: "address", Want: "a value: this key has no default"}},
		"no delimiter":    {good + "nonsense\n", settings.Error{Line: 6, Got: "nonsense", Want: "a [section], a key = value or a ; comment"}},
		"continued line":  {strings.Replace(good, "gateway-1", "gateway-1\\", 1), settings.Error{Line: 2, Section: "who", Key: "id", Got: "gateway-1\\", Want: "a name of a-z, 0-9, '-' and '.'"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := settings.Parse("x.ini", []byte(test.text), defaults())
			var errs settings.Errors
			must.True(t, errors.As(err, &errs), must.Sprint(err))
			must.SliceLen(t, 1, errs, must.Sprint(err))
			test.want.File = "x.ini"
			must.Eq(t, test.want, *errs[0])
		})
	}
}

func TestParseReportsAllErrorsInLineOrder(t *testing.T) {
	err := settings.Parse("x.ini", []byte("[who]\nid = A\nzone = B\n[reach]\naddress = c\n"), defaults())
	var errs settings.Errors
	must.True(t, errors.As(err, &errs))
	must.SliceLen(t, 3, errs)
	must.Eq(t, []int{2, 3, 5}, []int{errs[0].Line, errs[1].Line, errs[2].Line})
	must.StrContains(t, err.Error(), `x.ini:2: [who] id: got "A"`)
}

func TestLoadMissingFile(t *testing.T) {
	var missing *settings.FileError
	err := settings.Load(filepath.Join(t.TempDir(), "none.ini"), defaults())
	must.True(t, errors.As(err, &missing))
	must.ErrorIs(t, err, os.ErrNotExist)
}

func TestPrintedSettingsParseOnceRequiredKeysAreSet(t *testing.T) {
	text := settings.Print(defaults())
	for key, value := range map[string]string{"id": "a", "zone": "b", "address": "10.0.0.7:1"} {
		text = strings.Replace(text, "\n"+key+" = \n", "\n"+key+" = "+value+"\n", 1)
	}
	got := &testSettings{}
	must.NoError(t, settings.Parse("x.ini", []byte(text), got))
	want := defaults()
	want.Identity.ID, want.Identity.Zone = "a", "b"
	want.Network.Address = netip.MustParseAddrPort("10.0.0.7:1")
	must.Eq(t, want.Identity, got.Identity)
	must.Eq(t, want.Network.Grace, got.Network.Grace)
	must.Eq(t, want.Network.Address, got.Network.Address)
}

// FuzzParse checks that any file is either accepted or refused with typed errors
// whose line numbers are within the file.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("[who\n= =\n[reach]\naddress=\"\"\"\n")
	f.Add("[who]\nid=`x\n;\n[DEFAULT]\na=%(a)s\n")
	f.Fuzz(func(t *testing.T, text string) {
		err := settings.Parse("x.ini", []byte(text), defaults())
		if err == nil {
			return
		}
		var errs settings.Errors
		var unreadable *settings.FileError
		if errors.As(err, &unreadable) {
			return
		}
		must.True(t, errors.As(err, &errs))
		lines := strings.Count(text, "\n") + 1
		for _, invalid := range errs {
			must.Between(t, 0, invalid.Line, lines)
			must.NotEq(t, "", invalid.Want)
		}
	})
}
