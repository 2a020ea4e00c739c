package operatorcli

import (
	"os"

	"auburnglade.example/glade/internal/report"
)

// ReportCmd renders reports.
type ReportCmd struct {
	Wave ReportWaveCmd `cmd:"" help:"Draw a wave: availability against budgets over time, hosts out, failures."`
}

// ReportWaveCmd renders the report of one wave as HTML.
type ReportWaveCmd struct {
	Name string `arg:"" help:"Wave."`
	Out  string `help:"File to write; standard output when left out." type:"path" placeholder:"FILE.html"`
}

// Run implements the command. With -o json it prints the history as JSON
// instead.
func (c *ReportWaveCmd) Run(env *Env) error {
	history, err := env.Client.History(env.Context, c.Name)
	if err != nil {
		return err
	}
	if env.JSON {
		return env.json(history)
	}
	page, err := report.Render(history)
	if err != nil {
		return err
	}
	if c.Out == "" {
		_, err = env.Out.Write(page)
		return err
	}
	if err := os.WriteFile(c.Out, page, 0o644); err != nil {
		return &OutputError{File: c.Out, Cause: err}
	}
	env.progress("%s written", c.Out)
	return nil
}

// OutputError reports that a file can't be written.
type OutputError struct {
	File  string
	Cause error
}

func (e *OutputError) Error() string { return e.File + " can't be written: " + e.Cause.Error() }

func (e *OutputError) Unwrap() error { return e.Cause }
