package tomlfile

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineRecorder walks the syntax of a file and records the line of each key in a Document.
type lineRecorder struct {
	document     *Document
	parser       unstable.Parser
	arrayLengths map[string]int // number of tables so far in each array of tables, by path
}

// recordLines records the line of each key. raw must be valid TOML.
func (d *Document) recordLines(raw []byte) {
	r := &lineRecorder{document: d, arrayLengths: map[string]int{}}
	r.parser.Reset(raw)
	table := ""
	for r.parser.NextExpression() {
		expression := r.parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			path, line := r.tablePath(expression.Key())
			table = path
			r.setLine(table, line)
		case unstable.ArrayTable:
			path, line := r.tablePath(expression.Key())
			r.setLine(path, line)
			table = itemKey(path, r.arrayLengths[path])
			r.arrayLengths[path]++
			r.setLine(table, line)
		case unstable.KeyValue:
			r.recordKeyValue(table, expression)
		}
	}
}

// tablePath returns the full path of a table and its line. An array of tables in the path refers to its last table.
func (r *lineRecorder) tablePath(keys unstable.Iterator) (path string, line int) {
	for keys.Next() {
		node := keys.Node()
		path = joinKey(path, string(node.Data))
		if line == 0 {
			line = r.lineOf(node)
		}
		if keys.IsLast() {
			break
		}
		if length := r.arrayLengths[path]; length > 0 {
			path = itemKey(path, length-1)
		}
	}
	return path, line
}

func (r *lineRecorder) recordKeyValue(table string, expression *unstable.Node) {
	path, line := table, 0
	for keys := expression.Key(); keys.Next(); {
		path = joinKey(path, string(keys.Node().Data))
		line = r.lineOf(keys.Node())
		r.setLine(path, line)
	}
	r.recordValue(path, line, expression.Value())
}

func (r *lineRecorder) recordValue(path string, line int, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for children := value.Children(); children.Next(); {
			r.recordKeyValue(path, children.Node())
		}
	case unstable.Array:
		i := 0
		for children := value.Children(); children.Next(); i++ {
			item := itemKey(path, i)
			r.setLine(item, line)
			r.recordValue(item, line, children.Node())
		}
	}
}

func (r *lineRecorder) lineOf(node *unstable.Node) int { return r.parser.Shape(node.Raw).Start.Line }

// setLine records the line of a path, unless it already has one.
func (r *lineRecorder) setLine(path string, line int) {
	if _, ok := r.document.lines[path]; !ok {
		r.document.lines[path] = line
	}
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func itemKey(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
