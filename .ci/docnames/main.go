// Command docnames checks that the files, packages and symbols that documentation pages name in code spans exist.
//
// Usage, from the root of the repository:
//
//	docnames PAGE.md [PAGE.md ...]
//
// It prints a line for each name that does not exist, and exits with status 1 if there is one.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// repositoryPath matches a path in one of the repository's top-level directories.
	repositoryPath = regexp.MustCompile(`^(\./)?(cmd|dispatch|internal|deploy|docs|journal|\.ci)(/[A-Za-z0-9_.-]+)*/?$`)
	// goFile matches the name of a Go file, with or without the path of its package.
	goFile = regexp.MustCompile(`^([a-z][a-z0-9_/-]*/)?[a-z][a-z0-9_]*\.go$`)
	// identifier matches an unexported Go name of several words, which is unlikely to be anything but an identifier.
	identifier = regexp.MustCompile(`^[a-z]+[a-z0-9]*[A-Z][A-Za-z0-9]*$`)
	// member matches Type.Member.
	member = regexp.MustCompile(`^(\(\*)?([A-Z][A-Za-z0-9]*|[a-z]+[A-Z][A-Za-z0-9]*)\)?\.([A-Za-z][A-Za-z0-9]*)(\(\))?$`)
	// symbol matches package.Name, package.Type.Member and package.(*Type).Member.
	symbol = regexp.MustCompile(`^([a-z][a-z0-9]*)\.(\(\*)?([A-Za-z][A-Za-z0-9_]*)\)?(\.([A-Za-z][A-Za-z0-9_]*))?(\(\))?$`)
)

// tree holds the files of the repository and the names that it declares.
type tree struct {
	files    map[string]bool            // paths of files and directories, and base names of Go files
	packages map[string]map[string]bool // declared Name and Type.Member, by package name
	names    map[string]bool            // all names and members, without package and type
	members  map[string]bool            // all Type.Member, without package
	imported map[string]bool            // last elements of all import paths
}

func main() {
	repository, err := load(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "docnames:", err)
		os.Exit(1)
	}
	missing := 0
	for _, page := range os.Args[1:] {
		text, err := os.ReadFile(page)
		if err != nil {
			fmt.Fprintln(os.Stderr, "docnames:", err)
			os.Exit(1)
		}
		for _, problem := range repository.check(string(text)) {
			fmt.Printf("%s:%s\n", page, problem)
			missing++
		}
	}
	if missing > 0 {
		fmt.Fprintf(os.Stderr, "docnames: %d unknown names\n", missing)
		os.Exit(1)
	}
}

// load reads all files below root, without .git and the journal's blobs.
func load(root string) (*tree, error) {
	repository := &tree{files: map[string]bool{}, packages: map[string]map[string]bool{}, names: map[string]bool{},
		members: map[string]bool{}, imported: map[string]bool{}}
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(file, root+string(filepath.Separator)))
		if entry.IsDir() {
			if name == ".git" || name == "journal/blobs" {
				return filepath.SkipDir
			}
			repository.files[name] = true
			return nil
		}
		repository.files[name] = true
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		repository.files[path.Base(name)] = true
		return repository.addGoFile(file)
	})
	return repository, err
}

// addGoFile adds the declarations and imports of a Go file.
func (t *tree) addGoFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	declared := t.packages[parsed.Name.Name]
	if declared == nil {
		declared = map[string]bool{}
		t.packages[parsed.Name.Name] = declared
	}
	for _, declaration := range parsed.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			declared[receiverPrefix(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				addSpec(declared, spec)
			}
		}
	}
	for name := range declared {
		t.names[name[strings.LastIndexByte(name, '.')+1:]] = true
		if strings.Contains(name, ".") {
			t.members[name] = true
		}
	}
	for _, spec := range parsed.Imports {
		t.imported[path.Base(strings.Trim(spec.Path.Value, `"`))] = true
	}
	return nil
}

// receiverPrefix returns "Type." for a method and "" for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// addSpec adds a type and its members, or constants or variables.
func addSpec(declared map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			declared[name.Name] = true
		}
	case *ast.TypeSpec:
		declared[s.Name.Name] = true
		var members *ast.FieldList
		switch definition := s.Type.(type) {
		case *ast.StructType:
			members = definition.Fields
		case *ast.InterfaceType:
			members = definition.Methods
		}
		if members == nil {
			return
		}
		for _, field := range members.List {
			for _, name := range field.Names {
				declared[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// check returns "LINE: reason" for each name in the page's code spans that does not exist.
func (t *tree) check(page string) (problems []string) {
	for i, line := range strings.Split(page, "\n") {
		for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
			if reason := t.nameProblem(span[1]); reason != "" {
				problems = append(problems, fmt.Sprintf("%d: %s", i+1, reason))
			}
		}
	}
	return problems
}

// nameProblem returns why a name does not exist, or "" if it does or does not look like a name of the repository.
func (t *tree) nameProblem(name string) string {
	if repositoryPath.MatchString(name) || goFile.MatchString(name) {
		file := strings.TrimSuffix(strings.TrimPrefix(name, "./"), "/")
		if !t.files[file] && !t.files["internal/"+file] {
			return "unknown file or directory " + name
		}
		return ""
	}
	if identifier.MatchString(name) && !t.names[name] {
		return "unknown identifier " + name
	}
	if parts := member.FindStringSubmatch(name); parts != nil && !t.members[parts[2]+"."+parts[3]] {
		return fmt.Sprintf("unknown member %s of type %s", parts[3], parts[2])
	}
	return t.symbolProblem(name)
}

// symbolProblem is nameProblem for package.Name and package.Type.Member.
func (t *tree) symbolProblem(name string) string {
	parts := symbol.FindStringSubmatch(name)
	if parts == nil {
		return ""
	}
	declared := t.packages[parts[1]]
	isExported := parts[3][0] >= 'A' && parts[3][0] <= 'Z'
	if declared == nil {
		if isExported && !t.imported[parts[1]] {
			return "unknown package " + parts[1]
		}
		return ""
	}
	qualified := parts[3]
	if parts[5] != "" {
		qualified += "." + parts[5]
	}
	if !declared[qualified] {
		return fmt.Sprintf("package %s does not declare %s", parts[1], qualified)
	}
	return ""
}
