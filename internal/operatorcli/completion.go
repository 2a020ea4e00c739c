package operatorcli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
)

// CompletionCmd prints a completion script.
type CompletionCmd struct {
	Shell string `arg:"" help:"Shell: bash, zsh or fish." enum:"bash,zsh,fish"`
}

// Run implements the command. The scripts call gladectl for the words, so that
// they always match the installed version. Record names are read from a
// controller.
func (c *CompletionCmd) Run(env *Env) error {
	fmt.Fprint(env.Out, completionScripts[c.Shell])
	return nil
}

var completionScripts = map[string]string{
	"bash": `_gladectl() {
  local IFS=$'\n'
  COMPREPLY=($(compgen -W "$(gladectl --complete -- "${COMP_WORDS[@]:1:COMP_CWORD-1}" 2>/dev/null)" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _gladectl gladectl
`,
	"zsh": `#compdef gladectl
_gladectl() {
  local -a found
  found=("${(@f)$(gladectl --complete -- "${(@)words[2,CURRENT-1]}" 2>/dev/null)}")
  compadd -a found || _files
}
compdef _gladectl gladectl
`,
	"fish": `function __gladectl
  set -l words (commandline -opc)
  gladectl --complete -- $words[2..-1] 2>/dev/null
end
complete -c gladectl -a '(__gladectl)'
`,
}

// completeFlag, as the first argument, makes gladectl print the possible next
// words instead of running a command.
const completeFlag = "--complete"

// complete prints the words that can follow the given ones.
func (e *Env) complete(words []string) {
	for _, word := range candidates(e, words) {
		fmt.Fprintln(e.Out, word)
	}
}

func candidates(e *Env, words []string) []string {
	node := e.Parser.Model.Node
	var arguments []string
	for _, word := range words {
		if strings.HasPrefix(word, "-") {
			continue
		}
		if next := child(node, word); next != nil {
			node = next
			continue
		}
		arguments = append(arguments, word)
	}
	if node == e.Parser.Model.Node {
		return append(commandNames(node), flagNames(node)...)
	}
	if len(arguments) < len(node.Positional) {
		if values := e.argumentValues(node, arguments); len(values) > 0 {
			return values
		}
	}
	return flagNames(node)
}

func child(node *kong.Node, name string) *kong.Node {
	for _, c := range node.Children {
		if c.Name == name {
			return c
		}
	}
	return nil
}

func commandNames(node *kong.Node) []string {
	var names []string
	for _, c := range node.Children {
		names = append(names, c.Name)
	}
	return names
}

func flagNames(node *kong.Node) []string {
	var names []string
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			names = append(names, "--"+flag.Name)
		}
	}
	return names
}

// argumentValues returns the possible values of the next argument, or none if
// they can't be listed.
func (e *Env) argumentValues(node *kong.Node, arguments []string) []string {
	next := node.Positional[len(arguments)]
	switch next.Name {
	case "kind":
		return kindNames(node.Name == "explain")
	case "name":
		return e.recordNames(record.Kind(arguments[0]))
	case "wave":
		return e.recordNames(record.KindWave)
	case "host":
		return e.recordNames(operatorapi.KindHost)
	case "shell":
		return next.EnumSlice()
	}
	return nil
}

func kindNames(withHost bool) []string {
	var names []string
	for _, kind := range record.Kinds {
		names = append(names, string(kind))
	}
	if withHost {
		names = append(names, string(operatorapi.KindHost))
	}
	return names
}

// recordNames returns the names of a kind's records. It returns none if no
// controller responds.
func (e *Env) recordNames(kind record.Kind) []string {
	var names []string
	if kind == operatorapi.KindHost {
		hosts, err := e.Client.Hosts(e.Context)
		if err != nil {
			return nil
		}
		return hosts
	}
	list, err := e.Client.List(e.Context, kind)
	if err != nil {
		return nil
	}
	for _, r := range list.Records {
		names = append(names, r.ID.Name)
	}
	return names
}
