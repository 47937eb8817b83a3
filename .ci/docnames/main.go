// Command docnames checks that the files, packages and symbols that the documentation names in code spans exist.
//
// Usage, from the root of the repository: docnames PAGE.md [PAGE.md ...]. It prints a line for each name that does not exist and ends
// with 1 if there is one.
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
	// repositoryPath matches a path below one of the repository's folders.
	repositoryPath = regexp.MustCompile(`^(\./)?(cmd|dispatch|internal|deploy|docs|journal|\.ci)(/[A-Za-z0-9_.-]+)*/?$`)
	// goFile matches the name of a Go file alone or below a package.
	goFile = regexp.MustCompile(`^([a-z][a-z0-9_/-]*/)?[a-z][a-z0-9_]*\.go$`)
	// identifier matches a Go name of several words, which is unlikely to be anything else.
	identifier = regexp.MustCompile(`^[a-z]+[a-z0-9]*[A-Z][A-Za-z0-9]*$`)
	// member matches Type.Member.
	member = regexp.MustCompile(`^(\(\*)?([A-Z][A-Za-z0-9]*|[a-z]+[A-Z][A-Za-z0-9]*)\)?\.([A-Za-z][A-Za-z0-9]*)(\(\))?$`)
	// symbol matches package.Name, package.Type.Member and package.(*Type).Member.
	symbol = regexp.MustCompile(`^([a-z][a-z0-9]*)\.(\(\*)?([A-Za-z][A-Za-z0-9_]*)\)?(\.([A-Za-z][A-Za-z0-9_]*))?(\(\))?$`)
)

// tree is what the repository declares.
type tree struct {
	files    map[string]bool            // by path, and by name alone for Go files
	packages map[string]map[string]bool // by package name: Name and Type.Member
	names    map[string]bool            // all names and members, without package or type
	members  map[string]bool            // all Type.Member, without package
	imported map[string]bool            // names of packages that the repository imports from elsewhere
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
		for _, fault := range repository.check(string(text)) {
			fmt.Printf("%s:%s\n", page, fault)
			missing++
		}
	}
	if missing > 0 {
		fmt.Fprintf(os.Stderr, "docnames: %d names do not exist\n", missing)
		os.Exit(1)
	}
}

// load reads all files below root.
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

// addGoFile notes what a file declares.
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

// receiverPrefix returns "Type." for a method and nothing for a function.
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

// addSpec notes a type with its members, or values.
func addSpec(declared map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			declared[name.Name] = true
		}
	case *ast.TypeSpec:
		declared[s.Name.Name] = true
		var members *ast.FieldList
		switch of := s.Type.(type) {
		case *ast.StructType:
			members = of.Fields
		case *ast.InterfaceType:
			members = of.Methods
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
func (t *tree) check(page string) (faults []string) {
	for i, line := range strings.Split(page, "\n") {
		for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
			if reason := t.fault(span[1]); reason != "" {
				faults = append(faults, fmt.Sprintf("%d: %s", i+1, reason))
			}
		}
	}
	return faults
}

// fault returns why a name does not exist; empty where it does, or where it is no name of the repository's.
func (t *tree) fault(name string) string {
	if repositoryPath.MatchString(name) || goFile.MatchString(name) {
		file := strings.TrimSuffix(strings.TrimPrefix(name, "./"), "/")
		if !t.files[file] && !t.files["internal/"+file] {
			return "there is no file or folder " + name
		}
		return ""
	}
	if identifier.MatchString(name) && !t.names[name] {
		return "nothing is declared as " + name
	}
	if parts := member.FindStringSubmatch(name); parts != nil && !t.members[parts[2]+"."+parts[3]] {
		return fmt.Sprintf("no type %s has a member %s", parts[2], parts[3])
	}
	return t.symbolFault(name)
}

// symbolFault is fault for package.Name.
func (t *tree) symbolFault(name string) string {
	parts := symbol.FindStringSubmatch(name)
	if parts == nil {
		return ""
	}
	declared := t.packages[parts[1]]
	isExported := parts[3][0] >= 'A' && parts[3][0] <= 'Z'
	if declared == nil {
		if isExported && !t.imported[parts[1]] {
			return "there is no package " + parts[1]
		}
		return ""
	}
	wanted := parts[3]
	if parts[5] != "" {
		wanted += "." + parts[5]
	}
	if !declared[wanted] {
		return fmt.Sprintf("package %s declares no %s", parts[1], wanted)
	}
	return ""
}
