// Command gen generates the Go code of the stream's messages. It is run by go generate ./internal/configstreampb and
// does not require an installed protobuf compiler.
package main

import (
	"context"
	"fmt"
	"os"

	// Registers the descriptor that stream.proto imports.
	_ "buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
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

const protoFile = "stream.proto"

func main() {
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func generate() error {
	linkedFiles := protocompile.ResolverFunc(func(path string) (r protocompile.SearchResult, err error) {
		r.Desc, err = protoregistry.GlobalFiles.FindFileByPath(path)
		return r, err
	})
	compiler := protocompile.Compiler{
		Resolver:       protocompile.CompositeResolver{&protocompile.SourceResolver{}, linkedFiles},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), protoFile)
	if err != nil {
		return err
	}
	// A file must come after all files that it imports.
	var descriptors []*descriptorpb.FileDescriptorProto
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
			descriptors = append(descriptors, r.FileDescriptorProto())
		} else {
			descriptors = append(descriptors, protodesc.ToFileDescriptorProto(d))
		}
	}
	add(files[0])
	plugin, err := protogen.Options{}.New(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{protoFile},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      descriptors,
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
