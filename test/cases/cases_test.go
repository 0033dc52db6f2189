// Package cases_test runs the regression cases of the command line: each folder has the commands of a case
// (file cmd) and their expected output (file expect). The README and pages in docs show some of the outputs
// between markers:
//
//	<!-- case NAME --> ... <!-- end -->
//
// `go test ./test/cases -update` writes the current outputs to the expect files and the pages.
package cases_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/test/fleet"
)

// casesNet is the number of the fleet, which is the second byte of the IP addresses in the expected outputs.
const casesNet = 91

var update = flag.Bool("update", false, "write the current outputs to the expected outputs and the pages")

// placeholders has a fixed text for each part of the output that differs from run to run.
var placeholders = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`), "EDIT-ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "2026-12-04T02:15:22Z"},
	{regexp.MustCompile(`"atMillis": \d+`), `"atMillis": 1796350522000`},
	{regexp.MustCompile(`go1\.\d+(\.\d+)?`), "go1.26"},
	{regexp.MustCompile(`(?m)^[A-Za-z0-9+/]{43}=$`), "(32 random bytes in base64)"},
}

func TestCases(t *testing.T) {
	is := is.New(t)
	bin, work := t.TempDir(), t.TempDir()
	is.NoErr(fleet.Build("../..", bin))
	is.NoErr(os.CopyFS(filepath.Join(work, "samples"), os.DirFS("../../docs/samples")))
	f, err := fleet.New(work, bin, casesNet)
	is.NoErr(err)
	defer f.Close()
	is.NoErr(f.StartPlatform())
	folders, err := filepath.Glob("*/cmd")
	is.NoErr(err)
	for _, cmd := range folders {
		name := filepath.Dir(cmd)
		t.Run(name, func(t *testing.T) {
			got := strings.ReplaceAll(runCase(t, work, bin, cmd), fmt.Sprintf("127.%d.", f.Net), fmt.Sprintf("127.%d.", casesNet))
			compareExpected(t, filepath.Join(name, "expect"), got)
			comparePages(t, name, got)
		})
	}
}

// runCase runs the commands of a case one after another in a shell, and returns the commands with their outputs
// and nonzero exit codes.
func runCase(t *testing.T, work, bin, cmd string) string {
	raw, err := os.ReadFile(cmd)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		shell := exec.Command("sh", "-c", line)
		shell.Dir = work
		shell.Env = append(os.Environ(), "PATH="+bin+":"+os.Getenv("PATH"))
		text, _ := shell.CombinedOutput()
		out.WriteString("$ " + line + "\n" + string(text))
		if code := shell.ProcessState.ExitCode(); code != 0 {
			out.WriteString("(exit code " + string(rune('0'+code)) + ")\n")
		}
	}
	got := out.String()
	for _, p := range placeholders {
		got = p.pattern.ReplaceAllString(got, p.replacement)
	}
	return got
}

// compareExpected checks the output of a case against its expect file, which -update writes first.
func compareExpected(t *testing.T, file, got string) {
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output differs from %s; got:\n%s", file, got)
	}
}

// comparePages checks that each page that shows a case has its current output; -update writes it there.
func comparePages(t *testing.T, name, got string) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	section := regexp.MustCompile(`(?s)<!-- case ` + regexp.QuoteMeta(name) + ` -->.*?<!-- end -->`)
	current := "<!-- case " + name + " -->\n```\n" + got + "```\n<!-- end -->"
	for _, page := range append(pages, "../../README.md") {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		old := section.FindString(string(raw))
		if old == "" || old == current {
			continue
		}
		if !*update {
			t.Errorf("%s shows an outdated output of case %s; run go test ./test/cases -update", page, name)
			continue
		}
		text := section.ReplaceAllLiteralString(string(raw), current)
		if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
