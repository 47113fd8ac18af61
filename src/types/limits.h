#ifndef BAMBOOTALLY_LIMITS_H
#define BAMBOOTALLY_LIMITS_H

/* Limits and sizes shared by several modules.  */

/* Bytes in a name, with the final zero; a DNS name has up to 253
   characters.  */
#define NAME_SIZE 256u
#define HANDOVER_TOKEN_SIZE 64u /* bytes in a token, with the final zero */
#define KEY_SIZE 128u           /* bytes in a key, with the final zero */
#define REQUEST_ID_SIZE 256u /* bytes in a request id, with the final zero */
#define PATH_SIZE 1024u      /* bytes in the path of a request */
#define WITNESS_MAX 5u       /* witnesses of one node */
#define SUCCESSOR_MAX 2u     /* successors of one slice */
#define RECORD_BYTES_MAX 262144u /* bytes in one record of the log */
#define BODY_CHUNK_BYTES 16384u  /* bytes of a body moved in one step */
#define BODY_QUEUE_BYTES 65536u  /* bytes of one body buffered in a process */
#define USEC_PER_MSEC 1000       /* microseconds in a millisecond */
#define USEC_PER_SEC 1000000     /* microseconds in a second */

#endif
