// wants: syntax.jsonnet:3:
{ version: 1, config: '../../../deploy/counts.json',
  process: { log: }
}
