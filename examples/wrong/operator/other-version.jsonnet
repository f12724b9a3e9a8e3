// wants: $.version: 2 stands there; from 1 to 1 is right
{ version: 2, config: '../../../deploy/counts.json' }
