// wants: $.process.log.queue: 100.5 stands there; a whole number of lines belongs there
{ version: 1, config: '../../../deploy/counts.json', process: { log: { queue: 100.5 } } }
