#ifndef BAMBOOTALLY_WIRE_FLEET_H
#define BAMBOOTALLY_WIRE_FLEET_H

#include "types/fleet_record.h"
#include "wire/wire.h"

/* XDR for the records of a fleet, in the store and between nodes.  */

GByteArray *wire_fleet_encode (const struct fleet_record *record);
enum err wire_fleet_decode (struct fleet_record *record, const char *key,
                            const guint8 *bytes, gsize length);
GByteArray *wire_fleet_encode_entries (const GArray *entries);
GArray *wire_fleet_decode_entries (const guint8 *bytes, gsize length);

#endif
