// wants: $.version: is missing; a whole number belongs there
{ config: '../../../deploy/counts.json' }
