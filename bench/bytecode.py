"""A count of the bytecode instructions that a piece of Python executes."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any

__all__ = ["BytecodeCounter"]


class BytecodeCounter:
    """
    Counts instructions while ``counting`` is open.

    The count is the same in each run on any machine, however busy. What a C
    function does inside counts as the one instruction that calls it.
    """

    def __init__(self) -> None:
        self.instructions = 0

    @contextmanager
    def counting(self) -> Iterator[None]:
        """Count what is called inside; not the body itself."""
        sys.settrace(self._trace_call)
        try:
            yield
        finally:
            sys.settrace(None)

    def _trace_call(self, frame: FrameType, event: str, arg: Any) -> Any:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return self._trace_instruction

    def _trace_instruction(self, frame: FrameType, event: str, arg: Any) -> Any:
        if event == "opcode":
            self.instructions += 1
        return self._trace_instruction
