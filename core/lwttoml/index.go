package lwttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer collects the lines of all key paths of a document.
type indexer struct {
	content []byte
	lines   map[string]int
	// elements counts the elements of each array of tables.
	elements map[string]int
}

func index(content []byte) (map[string]int, *Problem) {
	indexer := indexer{content: content, lines: map[string]int{}, elements: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(content)
	table := ""
	for parser.NextExpression() {
		switch node := parser.Expression(); node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = indexer.header(node)
		case unstable.KeyValue:
			indexer.keyValue(table, node)
		}
	}
	if err := parser.Error(); err != nil {
		return nil, indexer.syntax(err, &parser)
	}
	return indexer.lines, nil
}

func (indexer indexer) syntax(err error, parser *unstable.Parser) *Problem {
	var syntax *unstable.ParserError
	if !errors.As(err, &syntax) {
		return &Problem{Message: plain(err.Error())}
	}
	line := 1
	if len(syntax.Highlight) > 0 {
		line = parser.Shape(parser.Range(syntax.Highlight)).Start.Line
	} else {
		line += bytes.Count(indexer.content, []byte("\n"))
	}
	return &Problem{Key: strings.Join(syntax.Key, "."), Line: line, Message: plain(syntax.Message)}
}

func (indexer indexer) header(node *unstable.Node) string {
	path, line := "", 0
	for keys := node.Key(); keys.Next(); {
		key := keys.Node()
		line = indexer.line(key)
		path = joined(path, string(key.Data))
		count, isArray := indexer.elements[path]
		if node.Kind == unstable.ArrayTable && keys.IsLast() {
			indexer.elements[path] = count + 1
			path = element(path, count)
		} else if isArray {
			path = element(path, count-1)
		}
	}
	indexer.add(path, line)
	return path
}

func (indexer indexer) keyValue(table string, node *unstable.Node) {
	path, line := table, 0
	for keys := node.Key(); keys.Next(); {
		line = indexer.line(keys.Node())
		path = joined(path, string(keys.Node().Data))
	}
	indexer.add(path, line)
	indexer.value(path, line, node.Value())
}

func (indexer indexer) value(path string, line int, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		for children := node.Children(); children.Next(); {
			indexer.keyValue(path, children.Node())
		}
	case unstable.Array:
		position := 0
		for children := node.Children(); children.Next(); {
			if children.Node().Kind == unstable.Comment {
				continue
			}
			child, childLine := element(path, position), indexer.first(children.Node(), line)
			indexer.add(child, childLine)
			indexer.value(child, childLine, children.Node())
			position++
		}
	}
}

func (indexer indexer) add(path string, line int) {
	if _, found := indexer.lines[path]; !found {
		indexer.lines[path] = line
	}
}

// first returns the line of an element: that of its first key for a table,
// and its own or else that of the array for other values.
func (indexer indexer) first(node *unstable.Node, array int) int {
	if node.Kind == unstable.InlineTable {
		if children := node.Children(); children.Next() {
			if keys := children.Node().Key(); keys.Next() {
				return indexer.line(keys.Node())
			}
		}
	}
	if node.Raw.Offset > 0 {
		return indexer.line(node)
	}
	return array
}

func (indexer indexer) line(node *unstable.Node) int {
	offset := min(int(node.Raw.Offset), len(indexer.content))
	return 1 + bytes.Count(indexer.content[:offset], []byte("\n"))
}

func joined(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func element(path string, position int) string { return fmt.Sprintf("%s[%d]", path, position) }
