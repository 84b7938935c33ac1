/* soak SEED SECONDS: one run with line-buffered output. Called by scripts/soak. */
#include "soak.h"
#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	if (argc != 3) {
		fprintf(stderr, "soak SEED SECONDS\n");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	return soak_run((uint32_t)atoi(argv[1]), atoi(argv[2]), SOAK_ALL_KINDS) ? 1 : 0;
}
