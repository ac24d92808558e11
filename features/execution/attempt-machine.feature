Feature: State machine of model attempts

  Scenario: arbitrary interleavings keep the guarantees of an attempt
    Then the attempt machine keeps its guarantees over 10000 interleavings
