// Package operatorcli implements gladectl, the operators' command line.
package operatorcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/operatorapi"
)

// completionTimeout limits how long a shell waits for completions.
const completionTimeout = 2 * time.Second

// CLI is the command line as parsed by kong.
type CLI struct {
	Server  []string         `help:"Controllers' operators' API; the next is asked when one can't be reached." default:"http://127.0.0.1:7300" env:"GLADE_SERVER" placeholder:"URL"`
	Output  string           `short:"o" help:"Output format." enum:"table,json" default:"table"`
	CA      string           `help:"PEM file of the CAs of the controllers' certificates." env:"GLADE_CA" type:"path" placeholder:"FILE"`
	Cert    string           `help:"PEM file of your certificate." env:"GLADE_CERT" type:"path" placeholder:"FILE"`
	Key     string           `help:"PEM file of your private key." env:"GLADE_KEY" type:"path" placeholder:"FILE"`
	Token   string           `help:"File with your token." env:"GLADE_TOKEN_FILE" type:"path" placeholder:"FILE"`
	Quiet   bool             `short:"q" help:"No progress lines on standard error."`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Apply      ApplyCmd      `cmd:"" help:"Put the records of files in force."`
	Get        GetCmd        `cmd:"" help:"Show one record."`
	List       ListCmd       `cmd:"" help:"List records."`
	Diff       DiffCmd       `cmd:"" help:"Show what applying files would change."`
	Delete     DeleteCmd     `cmd:"" help:"Delete a record."`
	Watch      WatchCmd      `cmd:"" help:"Show changes as they come."`
	Wait       WaitCmd       `cmd:"" help:"Wait for a wave to end or a revision to be in force everywhere."`
	Status     StatusCmd     `cmd:"" help:"Show the fleet, or one record's status."`
	Explain    ExplainCmd    `cmd:"" help:"Say why a host or a record is as it is and what it waits for."`
	Plan       PlanCmd       `cmd:"" help:"Show what applying files would do, without applying them."`
	Drain      DrainCmd      `cmd:"" help:"Maintain one host: a wave of its own."`
	Pause      PauseCmd      `cmd:"" help:"Let a wave start no further host."`
	Resume     ResumeCmd     `cmd:"" help:"Let a paused or stopped wave go on."`
	Cancel     CancelCmd     `cmd:"" help:"End a wave once the hosts it has out are back."`
	Report     ReportCmd     `cmd:"" help:"Draw a report."`
	Audit      AuditCmd      `cmd:"" help:"Show who changed what."`
	StopWaves  StopWavesCmd  `cmd:"" help:"Break glass: pause every wave at once."`
	Completion CompletionCmd `cmd:"" help:"Print a shell's completion script."`
}

// Env is the environment that a command runs in.
type Env struct {
	Context context.Context
	Client  *operatorapi.Client
	Out     io.Writer
	// Err receives progress lines; nil drops them.
	Err    io.Writer
	JSON   bool
	Parser *kong.Kong
}

// progress writes a progress line to standard error, so that standard output
// holds only the result.
func (e *Env) progress(format string, args ...any) {
	if e.Err != nil {
		fmt.Fprintf(e.Err, format+"\n", args...)
	}
}

// Main runs gladectl until it ends or is interrupted, and returns its exit
// code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return Run(ctx, args, out, errOut)
}

// Run runs one command line until ctx ends and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var cli CLI
	ended := false
	parser, err := kong.New(&cli, kong.Name("gladectl"), kong.Writers(out, errOut),
		kong.Exit(func(int) { ended = true }), kong.UsageOnError(),
		kong.Description("Drives auburnglade: records, waves, and why things are as they are."),
		kong.Vars{"version": "gladectl " + buildinfo.Version})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if len(args) > 0 && args[0] == completeFlag {
		return completeWords(ctx, parser, &cli, args[1:], out)
	}
	command, err := parser.Parse(args)
	switch {
	case ended:
		// --help or --version has already printed its output.
		return ExitOK
	case err != nil:
		fmt.Fprintln(errOut, "gladectl:", err)
		return ExitUsage
	}
	client, err := cli.client()
	if err != nil {
		fmt.Fprintln(errOut, "gladectl:", err)
		return ExitUsage
	}
	env := &Env{
		Context: ctx, Client: client, Out: out, Err: errOut,
		JSON: cli.Output == "json", Parser: parser,
	}
	if cli.Quiet {
		env.Err = nil
	}
	if err := command.Run(env); err != nil {
		printError(errOut, err)
		return exitCode(err)
	}
	return ExitOK
}

// client returns a client of the controllers with the operator's credentials.
func (c *CLI) client() (*operatorapi.Client, error) {
	client := operatorapi.NewClient(c.Server...)
	credentials := operatorapi.Credentials{CA: c.CA, Certificate: c.Cert, PrivateKey: c.Key, TokenFile: c.Token}
	if credentials == (operatorapi.Credentials{}) {
		return client, nil
	}
	return client, client.SetCredentials(credentials)
}

// completeWords prints the words for a completion script. It takes the servers
// from the environment, because the incomplete command line may not parse.
func completeWords(ctx context.Context, parser *kong.Kong, cli *CLI, words []string, out io.Writer) int {
	if len(words) > 0 && words[0] == "--" {
		words = words[1:]
	}
	if _, err := parser.Parse([]string{"list"}); err != nil {
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	client, err := cli.client()
	if err != nil {
		return ExitUsage
	}
	env := &Env{Context: ctx, Client: client, Out: out, Parser: parser}
	env.complete(words)
	return ExitOK
}
