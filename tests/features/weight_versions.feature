Feature: New requests reuse no KV cache blocks of another weight version

  Scenario: Weights are swapped while an answer is in flight
    A caller returns to a context just after the engine has loaded new weights.
    Blocks that the old weights computed would give a wrong answer, and nothing
    would show that it is wrong.
    When an engine swaps its weights while an answer is in flight
    Then the answer in flight is whole
    And a new request with the same context reuses nothing
    And its repeat reuses the new version's blocks
