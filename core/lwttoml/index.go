package lwttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer collects the line of each key path of a document.
type indexer struct {
	content []byte
	lines   map[string]int
	// elementCounts is the number of elements so far of each array of tables.
	elementCounts map[string]int
}

func indexLines(content []byte) (map[string]int, *Problem) {
	indexer := indexer{content: content, lines: map[string]int{}, elementCounts: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(content)
	table := ""
	for parser.NextExpression() {
		switch node := parser.Expression(); node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = indexer.addHeader(node)
		case unstable.KeyValue:
			indexer.addKeyValue(table, node)
		}
	}
	if err := parser.Error(); err != nil {
		return nil, indexer.syntaxProblem(err, &parser)
	}
	return indexer.lines, nil
}

func (indexer indexer) syntaxProblem(err error, parser *unstable.Parser) *Problem {
	var parserError *unstable.ParserError
	if !errors.As(err, &parserError) {
		return &Problem{Message: trimLibraryPrefix(err.Error())}
	}
	line := 1
	if len(parserError.Highlight) > 0 {
		line = parser.Shape(parser.Range(parserError.Highlight)).Start.Line
	} else {
		line += bytes.Count(indexer.content, []byte("\n"))
	}
	return &Problem{Key: strings.Join(parserError.Key, "."), Line: line, Message: trimLibraryPrefix(parserError.Message)}
}

func (indexer indexer) addHeader(node *unstable.Node) string {
	path, line := "", 0
	for keys := node.Key(); keys.Next(); {
		key := keys.Node()
		line = indexer.lineOf(key)
		path = joinPath(path, string(key.Data))
		count, isArray := indexer.elementCounts[path]
		if node.Kind == unstable.ArrayTable && keys.IsLast() {
			indexer.elementCounts[path] = count + 1
			path = elementPath(path, count)
		} else if isArray {
			path = elementPath(path, count-1)
		}
	}
	indexer.add(path, line)
	return path
}

func (indexer indexer) addKeyValue(table string, node *unstable.Node) {
	path, line := table, 0
	for keys := node.Key(); keys.Next(); {
		line = indexer.lineOf(keys.Node())
		path = joinPath(path, string(keys.Node().Data))
	}
	indexer.add(path, line)
	indexer.addValue(path, line, node.Value())
}

func (indexer indexer) addValue(path string, line int, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		for children := node.Children(); children.Next(); {
			indexer.addKeyValue(path, children.Node())
		}
	case unstable.Array:
		position := 0
		for children := node.Children(); children.Next(); {
			if children.Node().Kind == unstable.Comment {
				continue
			}
			child, childLine := elementPath(path, position), indexer.elementLine(children.Node(), line)
			indexer.add(child, childLine)
			indexer.addValue(child, childLine, children.Node())
			position++
		}
	}
}

func (indexer indexer) add(path string, line int) {
	if _, found := indexer.lines[path]; !found {
		indexer.lines[path] = line
	}
}

// elementLine returns the line of an array element: that of the first key if it is
// an inline table, otherwise its own. If neither has a position, it returns
// arrayLine.
func (indexer indexer) elementLine(node *unstable.Node, arrayLine int) int {
	if node.Kind == unstable.InlineTable {
		if children := node.Children(); children.Next() {
			if keys := children.Node().Key(); keys.Next() {
				return indexer.lineOf(keys.Node())
			}
		}
	}
	if node.Raw.Offset > 0 {
		return indexer.lineOf(node)
	}
	return arrayLine
}

func (indexer indexer) lineOf(node *unstable.Node) int {
	offset := min(int(node.Raw.Offset), len(indexer.content))
	return 1 + bytes.Count(indexer.content[:offset], []byte("\n"))
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func elementPath(path string, position int) string { return fmt.Sprintf("%s[%d]", path, position) }
