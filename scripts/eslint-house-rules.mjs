/**
 * Lint rules for conventions of this project that no published plugin covers.
 */

const noIndexFile = {
  meta: {
    type: 'problem',
    messages: {
      indexFile: 'Index files are not allowed; name the file after its export.',
    },
    schema: [],
  },
  create(context) {
    return {
      Program(node) {
        if (/(^|\/)index\.\w+$/.test(context.filename)) {
          context.report({ node, messageId: 'indexFile' });
        }
      },
    };
  },
};

const exportedTypeKinds = new Set([
  'TSInterfaceDeclaration',
  'ClassDeclaration',
]);

const oneExportedType = {
  meta: {
    type: 'problem',
    messages: {
      secondType:
        'A file may export only one type; move this type to its own file.',
    },
    schema: [],
  },
  create(context) {
    let exportedTypes = 0;
    return {
      ExportNamedDeclaration(node) {
        if (!exportedTypeKinds.has(node.declaration?.type)) {
          return;
        }
        exportedTypes += 1;
        if (exportedTypes > 1) {
          context.report({ node, messageId: 'secondType' });
        }
      },
    };
  },
};

const readonlyProperties = {
  meta: {
    type: 'problem',
    messages: { mutableProperty: 'Mark this property as readonly.' },
    schema: [],
  },
  create(context) {
    return {
      TSPropertySignature(node) {
        if (!node.readonly) {
          context.report({ node, messageId: 'mutableProperty' });
        }
      },
    };
  },
};

export const houseRules = {
  rules: {
    'no-index-file': noIndexFile,
    'one-exported-type': oneExportedType,
    'readonly-properties': readonlyProperties,
  },
};
