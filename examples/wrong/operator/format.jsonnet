// wants: $.process.log.format: "xml" stands there
{ version: 1, config: '../../../deploy/counts.json', process: { log: { format: 'xml' } } }
