// Command gen makes the Go code of the stream's messages: go generate ./internal/configstreampb. It needs no compiler
// of its own on the machine.
package main

import (
	"context"
	"fmt"
	"os"

	_ "buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate" // its description can be imported
	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const file = "stream.proto"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func run() error {
	linked := protocompile.ResolverFunc(func(path string) (r protocompile.SearchResult, err error) {
		r.Desc, err = protoregistry.GlobalFiles.FindFileByPath(path)
		return r, err
	})
	c := protocompile.Compiler{
		Resolver:       protocompile.CompositeResolver{&protocompile.SourceResolver{}, linked},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	// Files that it imports come first.
	var all []*descriptorpb.FileDescriptorProto
	seen := map[string]bool{}
	var add func(protoreflect.FileDescriptor)
	add = func(d protoreflect.FileDescriptor) {
		if seen[d.Path()] {
			return
		}
		seen[d.Path()] = true
		for i := range d.Imports().Len() {
			add(d.Imports().Get(i).FileDescriptor)
		}
		if r, ok := d.(linker.Result); ok {
			all = append(all, r.FileDescriptorProto())
		} else {
			all = append(all, protodesc.ToFileDescriptorProto(d))
		}
	}
	add(files[0])
	plugin, err := protogen.Options{}.New(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      all,
	})
	if err != nil {
		return err
	}
	for _, f := range plugin.Files {
		if f.Generate {
			internal_gengo.GenerateFile(plugin, f)
		}
	}
	out := plugin.Response()
	if out.Error != nil {
		return fmt.Errorf("%s", *out.Error)
	}
	for _, f := range out.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
