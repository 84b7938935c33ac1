/* Two instances, of which the first reaches servers through the second only. */
#ifndef TUNNELED_H
#define TUNNELED_H
#include "pw.h"

/* Starts them; pw_entry_program must be test/entry_jump, and servers of app be listed. */
void tunneled_start(struct pw_entry **e);
#endif
